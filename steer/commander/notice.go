package commander

import (
	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/roundtripper"
)

// logNotice logs what a backend server said of itself in a response, if that is new.
func logNotice(log hclog.Logger, server string, n roundtripper.Notice) {
	switch n := n.(type) {
	case roundtripper.Leaving:
		log.Info("Backend server is leaving by its own response.", "server", server)
	case roundtripper.Paused:
		if n.Rejected != "" {
			log.Warn("Pause of a backend server does not hold as stated.", "server", server, "stated", n.Rejected, "until", n.Until)
			return
		}
		log.Info("Backend server asks for a pause.", "server", server, "until", n.Until)
	}
}
