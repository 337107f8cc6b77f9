package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	cannotDo = 2
)

// cases are the cases by name. Trouble reports whether the disruption is made.
var cases = map[string]func(w *world, trouble bool) (int, error){
	"ahead":    ahead,
	"slowread": slowread,
	"crowd":    crowd,
	"rollout":  rollout,
}

func main() {
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: third CASE PROGRAM RECORD TROUBLE")
		os.Exit(cannotDo)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(cannotDo)
	}
	w, err := newWorld(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotDo)
	}
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
		select {
		case <-signals:
			w.record.log("case was ended")
		case <-time.After(110 * time.Second):
			w.record.log("case took too long")
		}
		w.end()
		os.Exit(cannotDo)
	}()
	code, err := run(w, os.Args[4] != "0")
	w.end()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		w.record.log("cannot run: %v", err)
		code = cannotDo
	}
	w.record.log("exit code %d", code)
	os.Exit(code)
}
