//go:build review

// Command review-2 plays the scripts of the second review: daemons as processes, and stand-ins of the
// platform, the workers and the callers in this process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notPlayed  = 2
)

// play is one script. It returns an error if the case could not be played.
type play func(c *cluster, trouble bool) error

var plays = map[string]play{
	"odd-entry":    oddEntry,
	"full-page":    fullPage,
	"long-lease":   longLease,
	"stale-config": staleConfig,
	"crash-loop":   crashLoop,
}

// maxTime ends a run that hangs.
const maxTime = 110 * time.Second

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Println("usage: review-2 CASE FOLDER")
		return notPlayed
	}
	dir, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return notPlayed
	}
	c, err := newCluster(dir)
	if err != nil {
		fmt.Println("cannot start:", err)
		return notPlayed
	}
	defer c.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	result := make(chan error, 1)
	go func() { result <- plays[os.Args[1]](c, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-result:
	case <-interrupted:
		err = fmt.Errorf("the run was interrupted")
	case <-time.After(maxTime):
		err = fmt.Errorf("the run took too long")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.broken {
		fmt.Println("broken:", b)
	}
	switch {
	case len(c.broken) > 0:
		return ruleBroken
	case err != nil:
		c.note("not played: %v", err)
		fmt.Println("not played:", err)
		return notPlayed
	}
	fmt.Println("held")
	return ruleHeld
}
