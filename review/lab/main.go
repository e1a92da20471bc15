//go:build review

// Command lab plays the cases of review/ that have a script: it starts the project's program as
// separate processes on loopback, beside stand-ins of the platform's store, engines and clients, and
// checks one rule by what these saw. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case couldn't run.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitCouldNotRun
)

// couldNotRun ends the program; the nodes end with it.
func couldNotRun(format string, arguments ...any) {
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", arguments...)
	os.Exit(exitCouldNotRun)
}

var (
	recordFile  *os.File
	recordMutex sync.Mutex
)

// record writes a line to the record of what was sent, answered and run.
func record(format string, arguments ...any) {
	recordMutex.Lock()
	defer recordMutex.Unlock()
	fmt.Fprintf(recordFile, format+"\n", arguments...)
}

func main() {
	program := flag.String("program", "target/chutelock", "the project's `program`")
	path := flag.String("record", "record.txt", "`file` for the record")
	flag.Parse()
	var err error
	if recordFile, err = os.Create(*path); err != nil {
		couldNotRun("%v", err)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	play := map[string]func(d *deployment, trouble bool) bool{"leaving": playLeaving, "texts": playTexts, "former": playFormer}[flag.Arg(0)]
	if play == nil {
		couldNotRun("no such case: %q", flag.Arg(0))
	}
	d := newDeployment(*program, 4)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		d.close()
		os.Exit(exitCouldNotRun)
	}()
	record("case %s, trouble %t", flag.Arg(0), trouble)
	held := play(d, trouble)
	d.close()
	record("held: %t", held)
	_ = recordFile.Close()
	if !held {
		os.Exit(exitBroken)
	}
}

// isReady asks a front as the platform does.
func isReady(address string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + address + "/-/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
