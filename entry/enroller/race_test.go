//go:build race

package enroller_test

import "runtime"

// Go 1.26 runs the timer functions of a synctest bubble with a single context of the race
// detector on all threads, and its runtime crashes when two run at once (CHECK failed in
// tsan_rtl.cpp, or SIGSEGV), as in fleets of 120 entries.
func init() { runtime.GOMAXPROCS(1) }
