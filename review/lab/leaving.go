//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// request is one client attempt on the stream route and what its client saw.
type request struct {
	id, front string
	sentAt    time.Time
	status    int
	events    int
	whole     bool
	err       error
}

const requestsPerSecond = 40

// playLeaving sends streams at a steady rate while three of four engines are taken away, one every
// half second. None of them says in its entry that it is draining: their entries disappear, and they
// serve on for drainMs and 3.5 s more, and then end. Meanwhile their answers close the connection, and
// they answer health requests with 503.
func playLeaving(d *deployment, trouble bool) bool {
	var sent []*request
	var clients sync.WaitGroup
	start := time.Now()
	ticker := time.NewTicker(time.Second / requestsPerSecond)
	defer ticker.Stop()
	leaveAt := []time.Duration{4 * time.Second, 4500 * time.Millisecond, 5 * time.Second}
	next := 0
	for time.Since(start) < 16*time.Second {
		<-ticker.C
		if trouble && next < len(leaveAt) && time.Since(start) >= leaveAt[next] {
			d.engines[next].leave(d)
			next++
		}
		one := &request{id: fmt.Sprintf("%016x", rand.Uint64()), front: d.fronts()[len(sent)%zoneCount].callers}
		sent = append(sent, one)
		clients.Go(func() { one.send(d.engines[0].events) })
	}
	clients.Wait()
	return judgeLeaving(d, start, sent)
}

// leave removes the engine's entry; the store has acknowledged that once it returns.
func (e *engine) leave(d *deployment) {
	e.update(func() { e.leaving = true })
	d.store.Remove("servers", e.id)
	e.update(func() { e.goneAt = time.Now() })
	time.AfterFunc(drainMs*time.Millisecond+3500*time.Millisecond, e.close)
}

func (q *request) send(events int) {
	q.sentAt = time.Now()
	message, _ := http.NewRequest(http.MethodPost, "http://"+q.front+"/gono990/2f", bytes.NewReader(bytes.Repeat([]byte("x"), 1300)))
	message.Host = host
	for name, value := range map[string]string{
		"Request-Id": q.id, "Deadline-Ms": "5000", "Model": "m", "Token-Usage": "491,24", "Prompt-Prefix": "5c1e07a2:93,91bd3f06:62," + q.id[:8] + ":336",
	} {
		message.Header.Set(name, value)
	}
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(message)
	if err != nil {
		q.err = err
		return
	}
	defer response.Body.Close()
	q.status = response.StatusCode
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			q.events++
		}
	}
	q.err = lines.Err()
	q.whole = q.err == nil && q.status == http.StatusOK && q.events == events
}

// judgeLeaving checks DRAIN: no request reaches an engine later than drainMs after the store has
// acknowledged that the engine is gone. Requests that get 421 don't count.
func judgeLeaving(d *deployment, start time.Time, sent []*request) bool {
	byID := map[string]*request{}
	counts := map[string]int{}
	for _, one := range sent {
		byID[one.id] = one
		outcome := fmt.Sprint("status ", one.status)
		if one.status == http.StatusOK && !one.whole {
			outcome = "cut off"
		}
		counts[outcome]++
		record("%7.3f sent %s to %s: status %d, %d events, whole %t, %v", one.sentAt.Sub(start).Seconds(), one.id, one.front, one.status, one.events, one.whole, one.err)
	}
	d.recordRuns(start)
	late, cut := 0, 0
	latest := time.Duration(0)
	for _, e := range d.engines {
		if e.goneAt.IsZero() {
			record("%s %s stays; %d runs", e.id, e.zone, len(e.runs()))
			continue
		}
		record("%s %s: the store acknowledged at %.3f that it is gone", e.id, e.zone, e.goneAt.Sub(start).Seconds())
		for _, run := range e.runs() {
			after := run.at.Sub(e.goneAt)
			if after <= drainMs*time.Millisecond {
				continue
			}
			late++
			latest = max(latest, after)
			whole := byID[run.id] != nil && byID[run.id].whole
			if !whole {
				cut++
			}
			record("%7.3f DRAIN: %s reached %s %.3f s after that; its client got a whole answer: %t", run.at.Sub(start).Seconds(), run.id, e.id, after.Seconds(), whole)
		}
	}
	var outcomes []string
	for outcome, count := range counts {
		outcomes = append(outcomes, fmt.Sprintf("%s: %d", outcome, count))
	}
	sort.Strings(outcomes)
	summary := fmt.Sprintf("%d requests (%s); %d reached an engine later than %d ms after it was gone, the latest %.2f s; %d of these without a whole answer",
		len(sent), strings.Join(outcomes, ", "), late, drainMs, latest.Seconds(), cut)
	record("%s", summary)
	fmt.Println(summary)
	return late == 0
}
