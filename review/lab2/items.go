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
	// pauseTime is how long a store machine stands still, which is too short for its runs to be given up;
	// an engine crashes pauseCrashAfter later and is back after pauseCrashTime.
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

// frozenStore submits jobs all the time. In each round a store machine stands still for pauseTime; an engine
// crashes meanwhile and is back at its address, as a new incarnation, before the machine goes on. It returns
// the items whose result is succeeded with another text than the engine's.
func frozenStore(d *deployment, trouble bool) (broken []string, err error) {
	time.Sleep(5 * time.Second)
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
			if err := d.freezeStoreAndCrash(d.stores[round%len(d.stores)], round%len(d.processes)); err != nil {
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

func (d *deployment) freezeStoreAndCrash(store *node, index int) error {
	e := d.processes[index]
	if freezes() {
		d.record.printf("%s stands still", store.name)
		d.signal(store, syscall.SIGSTOP)
		defer func() {
			d.signal(store, syscall.SIGCONT)
			d.record.printf("%s goes on", store.name)
		}()
	}
	end := time.Now().Add(pauseTime)
	time.Sleep(pauseCrashAfter)
	d.crash(e)
	time.Sleep(pauseCrashTime)
	if err := d.startEngine(e, index); err != nil {
		return err
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
