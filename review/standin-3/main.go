//go:build review3

// Command standin-3 runs the cases of review/ that are scripts: it starts the project's daemons as separate
// processes on loopback addresses, with small stand-ins of the platform's store, of workers and of clients.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// maxRunTime ends a case that hangs.
const maxRunTime = 116 * time.Second

var cases = map[string]func(rec *recorder, root, dir string, trouble bool) (int, error){}

func main() { os.Exit(run1()) }

func run1() int {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	out := flag.String("record", "record.txt", "file to write the record to")
	flag.Parse()
	f, err := os.Create(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	buffer := bufio.NewWriter(f)
	rec := &recorder{begin: time.Now(), w: buffer}
	defer func() {
		rec.mu.Lock()
		defer rec.mu.Unlock()
		_ = buffer.Flush()
		_ = f.Close()
	}()
	play, known := cases[*name]
	if !known {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", *name)
		return cannotRun
	}
	dir := os.Getenv("KEEP_LOGS")
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review-3-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return cannotRun
		}
		defer os.RemoveAll(dir)
	}
	type result struct {
		code int
		err  error
	}
	results := make(chan result, 1)
	go func() {
		code, err := play(rec, *root, dir, os.Getenv("TROUBLE") != "0")
		results <- result{code, err}
	}()
	r := result{cannotRun, fmt.Errorf("the case did not end within %s", maxRunTime)}
	select {
	case r = <-results:
	case <-time.After(maxRunTime):
	}
	verdict := map[int]string{ruleHeld: "the rule held", ruleBroken: "THE RULE WAS BROKEN", cannotRun: "the case could not run"}[r.code]
	if r.err != nil {
		verdict += ": " + r.err.Error()
	}
	rec.add("%s", verdict)
	fmt.Println(verdict)
	return r.code
}
