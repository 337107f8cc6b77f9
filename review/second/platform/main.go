package main

import (
	"bufio"
	"fmt"
	"os"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// scripts holds the scripts by name. Each reports whether the rule was broken.
var scripts = map[string]func(w *world, trouble bool) (broken bool, err error){
	"deaf-relays":  deafRelays,
	"lose-entries": loseEntries,
	"late-route":   lateRoute,
}

func main() { os.Exit(run(os.Args[1:])) }

// run runs a script: its name and the file of the record are the arguments.
func run(args []string) int {
	if len(args) != 2 || scripts[args[0]] == nil {
		fmt.Println("usage: review-second SCRIPT RECORD")
		return exitCannot
	}
	file, err := os.Create(args[1])
	if err != nil {
		fmt.Println(err)
		return exitCannot
	}
	defer file.Close()
	record := bufio.NewWriter(file)
	defer record.Flush()
	w, err := newWorld(record)
	if err != nil {
		fmt.Println(err)
		return exitCannot
	}
	broken, err := scripts[args[0]](w, os.Getenv("TROUBLE") != "0")
	w.close()
	switch {
	case err != nil:
		w.log("cannot run: %v", err)
		fmt.Println("cannot run:", err)
		return exitCannot
	case broken:
		return exitBroken
	}
	return exitHeld
}
