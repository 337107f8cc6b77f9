package fuzzer

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"
)

// ProfileCount is the number of fault profiles from which scripts are generated.
const ProfileCount = 13

// profiles lists the verbs that each shard draws more often than others. Verbs that only
// the last profiles have, such as store-delay, are also kept out of allVerbs: a longer list
// would change the scripts that a seed generates in the other shards.
var profiles = [ProfileCount][]string{
	{"store-down", "store-up", "store-slow", "store-forget", "lapse-all", "break-watches", "compact", "apply", "race"},
	{"kill", "start", "stop", "start", "kill", "start", "store-down", "store-up"},
	{"cut", "mend", "cut-store", "mend-store", "pause", "resume", "kill", "start"},
	{"crash", "turn-cold", "slow", "drain", "undrain", "poison"},
	{"cut-answers", "cross-answers", "silence", "poison", "crash"},
	{"domain-out", "domain-in", "leave", "apply", "stop", "start"},
	{"pause", "resume", "lapse-all", "cut-store", "mend-store", "kill", "start"},
	{"move", "slow", "domain-out", "domain-in", "store-down", "store-up", "kill", "start"},
	{"store-delay", "extra-answers", "repeat", "slow", "crash", "apply", "cross-answers", "lapse-all"},
	{"limit", "limit", "unlimit", "slow", "drain", "turn-cold", "crash", "apply"},
	{"store-restore", "store-restore", "apply", "apply", "domain-out", "domain-in", "move", "kill", "start", "store-down", "store-up", "cut-store", "mend-store"},
	{
		"cut-servers", "cut-servers", "cut-servers", "cut-servers", "mend-servers", "store-down", "store-up", "move", "drain", "kill",
		"start", "slow", "apply",
	},
	{"shed", "shed", "shed", "drain", "undrain", "leave", "slow", "crash", "cut-answers", "store-down", "store-up", "move"},
}

// serverCutProfile is the index of the profile that partitions entries from all servers.
const serverCutProfile = 11

// ScriptLength returns the length of a shard's scripts. A partition from all servers is
// judged only when it has lasted for serverCutNotice.
func ScriptLength(shard int) time.Duration {
	if shard%ProfileCount == serverCutProfile {
		return 10 * time.Second
	}
	return 5 * time.Second
}

// allVerbs lists the verbs of the steps that do not follow the shard's profile.
var allVerbs = []string{
	"crash", "turn-cold", "slow", "drain", "undrain", "cut-answers", "cross-answers", "silence", "poison", "kill",
	"stop", "start", "pause", "resume", "cut", "mend", "cut-store", "mend-store", "store-down", "store-up",
	"store-slow", "store-forget", "lapse-all", "break-watches", "compact", "domain-out", "domain-in", "apply", "race",
	"leave", "move",
}

// profilePercent is the percentage of steps that follow the shard's profile.
const profilePercent = 70

// DrawStep draws a step of a shard's script. choose returns a number from low to high,
// both included; entries is the number of entries of the script.
func DrawStep(shard int, offset time.Duration, choose func(low, high int) int, entries int) Step {
	candidates := allVerbs
	if choose(1, 100) <= profilePercent {
		candidates = profiles[shard%ProfileCount]
	}
	st := Step{Offset: offset, Verb: candidates[choose(0, len(candidates)-1)]}
	for i := range verbs[st.Verb].argCount {
		st.Args = append(st.Args, drawArg(st.Verb, i, choose, entries))
	}
	return st
}

func drawArg(verb string, index int, choose func(low, high int) int, entries int) string {
	switch verb {
	case "crash", "turn-cold", "drain", "undrain", "leave", "unlimit":
		return drawServer(choose)
	case "slow", "cut-answers", "cross-answers", "extra-answers", "limit", "shed":
		if index == 0 {
			return drawServer(choose)
		}
		return strconv.Itoa(choose(1, 10))
	case "cut-servers":
		if index == 0 {
			return strconv.Itoa(choose(1, entries))
		}
		return slices.Sorted(maps.Keys(serverPartitions))[choose(0, len(serverPartitions)-1)]
	case "poison", "move":
		return []string{"catalogue", "booking"}[choose(0, 1)]
	case "domain-out", "domain-in":
		return deployment().Domains[choose(0, 2)]
	case "store-forget", "store-delay", "store-restore", "repeat":
		return strconv.Itoa(choose(1, 4))
	default:
		return strconv.Itoa(choose(1, entries))
	}
}

func drawServer(choose func(low, high int) int) string {
	names := []string{"catalogue", "booking"}
	return fmt.Sprintf("%s-%d", names[choose(0, 1)], choose(1, 4))
}
