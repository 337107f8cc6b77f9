package commander

import (
	"os"

	"samphiremux/ctl/explainer"
)

// explain prints the trace of a request from the given logs, or from standard input
// if there are none. It needs no store.
func (s *session) explain() error {
	e := explainer.New(s.Explain.ID)
	if len(s.Explain.Files) == 0 {
		if err := e.Read("-", os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range s.Explain.Files {
		if err := readLog(e, name); err != nil {
			return err
		}
	}
	x := e.Explain()
	s.print(x, x.Lines()...)
	return nil
}

// readLog adds one log file to the explainer.
func readLog(e *explainer.Explainer, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return e.Read(name, file)
}
