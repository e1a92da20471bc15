//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	// Engines that crash are back after pauseCrashTime. With FREEZE=1 a store machine stands still for
	// pauseTime, which is too short for its runs to be given up, and they crash pauseCrashAfter later.
	pauseTime       = 900 * time.Millisecond
	pauseCrashAfter = 150 * time.Millisecond
	pauseCrashTime  = 350 * time.Millisecond
	// A job of jobItems items comes every jobInterval, as on the smallest site.
	jobInterval = 800 * time.Millisecond
	jobItems    = 8
	// finishTime is how long jobs may take after the last one.
	finishTime = 18 * time.Second // the sites' finishS
)

// wholeText is what an engine gives for an item.
func wholeText(id string) string {
	var events []string
	for event := 1; event <= itemEvents; event++ {
		events = append(events, fmt.Sprintf("%s.%d", id, event))
	}
	return strings.Join(events, "\n")
}

// crashedEngines submits jobs all the time. In each round two engines crash and are soon back at their
// addresses, as new incarnations. It returns the items whose result is succeeded with another text than the
// engine's.
func crashedEngines(d *deployment, trouble bool) (broken []string, err error) {
	if err := d.awaitReady(); err != nil {
		return nil, err
	}
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			d.submitItems(jobItems, itemEvents)
			select {
			case <-stop:
				return
			case <-time.After(jobInterval):
			}
		}
	}()
	time.Sleep(3 * time.Second)
	for round := range 2 * rounds {
		begun := time.Now()
		if trouble {
			if err := d.crashEngines(round); err != nil {
				return nil, err
			}
		}
		time.Sleep(max(0, roundTime*3/4-time.Since(begun)))
	}
	close(stop)
	<-ended
	succeeded, dead := 0, 0
	for end := time.Now().Add(finishTime); ; time.Sleep(500 * time.Millisecond) {
		var wrong []string
		var open int
		succeeded, dead, open, wrong = d.readResults()
		broken = wrong
		if open == 0 || time.Now().After(end) {
			d.record.printf("results: %d succeeded, %d dead, %d not listed, %d succeeded with another text than the engine's", succeeded, dead, open, len(wrong))
			break
		}
	}
	if succeeded == 0 {
		return nil, fmt.Errorf("no item succeeded")
	}
	if text, err := os.ReadFile(filepath.Join(d.folder, "engines.log")); err == nil {
		d.record.printf("what the engines ran, by their clocks:\n%s", strings.TrimSuffix(string(text), "\n"))
	}
	return broken, nil
}

// crashEngines kills two engines, a share of 0.17, and starts them again pauseCrashTime later. With FREEZE=1 a
// store machine stands still for pauseTime around that.
func (d *deployment) crashEngines(round int) error {
	end := time.Now().Add(pauseTime)
	if os.Getenv("FREEZE") == "1" {
		store := d.stores[round%len(d.stores)]
		d.record.printf("%s stands still", store.name)
		d.signal(store, syscall.SIGSTOP)
		defer func() {
			d.signal(store, syscall.SIGCONT)
			d.record.printf("%s goes on", store.name)
		}()
		time.Sleep(pauseCrashAfter)
	}
	first, second := 2*round%len(d.processes), (2*round+1)%len(d.processes)
	d.crash(d.processes[first])
	d.crash(d.processes[second])
	time.Sleep(pauseCrashTime)
	for _, index := range []int{first, second} {
		if err := d.startEngine(d.processes[index], index); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(end))
	return nil
}

// readResults reads the results of all jobs.
func (d *deployment) readResults() (succeeded, dead, open int, wrong []string) {
	for i, id := range d.jobs {
		var page struct {
			Total   int `json:"total"`
			Results []struct {
				ID      string `json:"id"`
				State   string `json:"state"`
				Message string `json:"message"`
			} `json:"results"`
		}
		status, answer := d.call(d.fronts[i%len(d.fronts)], http.MethodGet, "/-/lots/"+id+"?sinceRevision=0", "", nil)
		if status != http.StatusOK || json.Unmarshal(answer, &page) != nil {
			open++
			continue
		}
		open += page.Total - len(page.Results)
		for _, result := range page.Results {
			switch {
			case result.State != "succeeded":
				dead++
			case result.Message == wholeText(result.ID):
				succeeded++
			default:
				succeeded++
				if !d.told[result.ID] {
					d.told[result.ID] = true
					d.record.printf("item %s of job %s: succeeded, %d of %d events: %q", result.ID, id, strings.Count(result.Message, "\n")+1, itemEvents, result.Message)
				}
				wrong = append(wrong, result.ID)
			}
		}
	}
	return succeeded, dead, open, wrong
}
