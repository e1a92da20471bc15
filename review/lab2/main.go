//go:build review

// Command lab2 runs the scripts of the second review. It starts the project's program as separate
// processes on loopback, as the deploy file does, beside the project's stand-ins of the platform's
// store and of engines, submits batch jobs, loses machines one at a time, and reads the jobs again.
//
//	lab2 SCENARIO RECORD
//
// It exits with 1 if an accepted job was lost, 0 if none was, and 2 if it couldn't run. With
// TROUBLE=0 it does the same without the disruptions.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Bounds of the deployment that is played: those of the smallest site.
const (
	catchUp  = 4800 * time.Millisecond
	recover_ = 12 * time.Second
)

// maxTime bounds a scenario, and readyTime its set-up.
const (
	maxTime   = 115 * time.Second
	readyTime = 15 * time.Second
)

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) (code int) {
	if len(arguments) == 4 && arguments[0] == "engine" {
		return runEngine(arguments[1], arguments[2], arguments[3])
	}
	if len(arguments) != 2 {
		fmt.Fprintln(os.Stderr, "usage: lab2 retire-replace|retire-wipe|frozen-front|crashed-engines RECORD")
		return exitNotRun
	}
	record, err := newRecord(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	defer func() { record.printf("exit %d", code) }()
	folder, err := os.MkdirTemp("", "lab2-")
	if err != nil {
		record.printf("no temporary folder: %v", err)
		return exitNotRun
	}
	defer os.RemoveAll(folder)
	d, err := newDeployment(folder, record, arguments[0] == "frozen-front" || arguments[0] == "crashed-engines")
	if err != nil {
		record.printf("the deployment could not be set up: %v", err)
		return exitNotRun
	}
	defer d.close()
	guard := time.AfterFunc(maxTime, func() {
		record.printf("not done within %s", maxTime)
		d.killAll()
		os.RemoveAll(folder)
		os.Exit(exitNotRun)
	})
	defer guard.Stop()
	trouble := os.Getenv("TROUBLE") != "0"
	record.printf("scenario %s, disruptions: %v", arguments[0], trouble)
	switch arguments[0] {
	case "frozen-front":
		return judge(d, trouble, frozenFront, "ORDER: %d streams end as complete before their last event: %s", "every stream that ends as complete has all events")
	case "crashed-engines":
		return judge(d, trouble, crashedEngines, "MIXED: %d results are succeeded though their text isn't the whole output: %s", "every result that is succeeded has the whole output")
	}
	steps := map[string]func(*deployment, bool) error{"retire-replace": retireReplace, "retire-wipe": retireWipe}[arguments[0]]
	if steps == nil {
		record.printf("no such scenario")
		return exitNotRun
	}
	if err := steps(d, trouble); err != nil {
		record.printf("could not run: %v", err)
		return exitNotRun
	}
	lost := d.readAll()
	if len(lost) > 0 {
		record.printf("LOST: %d of %d accepted jobs can't be read at the end: %s", len(lost), len(d.jobs), strings.Join(lost, " "))
		return exitBroken
	}
	record.printf("all %d accepted jobs can be read", len(d.jobs))
	return exitHeld
}

// judge plays a scenario that returns what breaks a rule.
func judge(d *deployment, trouble bool, play func(*deployment, bool) ([]string, error), whenBroken, whenHeld string) int {
	broken, err := play(d, trouble)
	switch {
	case err != nil:
		d.record.printf("could not run: %v", err)
		return exitNotRun
	case len(broken) > 0:
		d.record.printf(whenBroken, len(broken), strings.Join(broken, " "))
		return exitBroken
	}
	d.record.printf("%s", whenHeld)
	return exitHeld
}

// calm submits a job about every second for a time.
func (d *deployment) calm(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		begun := time.Now()
		d.submit()
		time.Sleep(max(0, min(time.Second-time.Since(begun), time.Until(end))))
	}
}

// lead is the time from the start of the machines to that of the traffic.
func (d *deployment) lead() error {
	if err := d.awaitReady(); err != nil {
		return err
	}
	for end := time.Now().Add(readyTime); ; {
		d.calm(4 * time.Second)
		if len(d.jobs) > 0 || time.Now().After(end) {
			break
		}
	}
	if len(d.jobs) == 0 {
		return fmt.Errorf("no job was accepted before the disruptions")
	}
	return nil
}

// awaitReady waits 5 s, and until all front nodes are ready.
func (d *deployment) awaitReady() error {
	end := time.Now().Add(readyTime)
	time.Sleep(5 * time.Second)
	for _, n := range d.fronts {
		for !d.ready(n) {
			if time.Now().After(end) {
				return fmt.Errorf("%s isn't ready %s after its start", n.name, readyTime)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// retireReplace: the operator asks to empty store-1, which can't be done with two others; store-3 is
// lost for good, and a new machine takes its place; once that has had its time, store-2 loses its disk.
func retireReplace(d *deployment, trouble bool) error {
	if err := d.lead(); err != nil {
		return err
	}
	if trouble {
		d.retire(d.stores[0])
	}
	d.calm(9 * time.Second)
	if trouble {
		d.loseForGood(d.stores[2])
	}
	d.calm(2 * time.Second)
	if trouble {
		if err := d.addStore("store-4", d.stores[2].zone); err != nil {
			return err
		}
	}
	d.calm(2*catchUp + time.Second)
	if trouble {
		if err := d.loseDisk(d.stores[1], time.Second); err != nil {
			return err
		}
	}
	d.calm(catchUp + recover_)
	return nil
}

// retireWipe: the operator asks to empty store-1, which can't be done with two others; store-1 loses its
// disk and is back; once it has had its time, store-2 loses its disk.
func retireWipe(d *deployment, trouble bool) error {
	if err := d.lead(); err != nil {
		return err
	}
	if trouble {
		d.retire(d.stores[0])
	}
	d.calm(9 * time.Second)
	for _, n := range d.stores[:2] {
		if trouble {
			if err := d.loseDisk(n, time.Second); err != nil {
				return err
			}
		}
		d.calm(2*catchUp + time.Second)
	}
	d.calm(recover_ - catchUp)
	return nil
}

// newFolder makes a folder under the deployment's.
func (d *deployment) newFolder(name string) (string, error) {
	path := filepath.Join(d.folder, name)
	return path, os.MkdirAll(path, 0o755)
}
