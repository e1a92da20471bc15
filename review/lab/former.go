//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	formerPerZone = 40
	contact       = 3 * time.Second         // contactMs
	catchUp       = 4800 * time.Millisecond // catchUpS
	recoverTime   = 12 * time.Second        // recoverS
	rounds        = 6
	readTime      = 10 * time.Second // for reads at the end
)

// playFormer lets store machines lose their disks, one at a time and each only after the one before has
// been back for contactMs and catchUpS, in a deployment that has replaced store machines before, FORMER
// of them in each zone.
func playFormer(d *deployment, trouble bool) bool {
	start := time.Now()
	perZone := formerPerZone
	if number, err := strconv.Atoi(os.Getenv("FORMER")); err == nil {
		perZone = number
	}
	d.addFormerMachines(perZone)
	time.Sleep(8 * time.Second)
	var ids []string
	for range 5 {
		id := fmt.Sprintf("%016x", rand.Uint64())
		submit(d, id)
		ids = append(ids, id)
		record("%7.3f job %s accepted", time.Since(start).Seconds(), id)
	}
	for _, id := range ids {
		results := readAll(d.fronts()[0].callers, id, time.Now().Add(15*time.Second))
		record("%7.3f job %s: %d results read", time.Since(start).Seconds(), id, len(results))
		if len(results) < jobItems {
			d.close()
			couldNotRun("job %s has %d results before the first loss", id, len(results))
		}
	}
	for round := range rounds {
		n := d.stores()[round%zoneCount]
		if trouble {
			record("%7.3f %s loses its disk", time.Since(start).Seconds(), n.name)
			n.loseDisk()
			record("%7.3f %s is back", time.Since(start).Seconds(), n.name)
		}
		time.Sleep(contact + catchUp)
	}
	time.Sleep(recoverTime - contact - catchUp)
	lost := d.unreadable(ids, readTime)
	d.recordRuns(start)
	for _, id := range lost {
		record("%7.3f LOST: job %s can't be read at any front", time.Since(start).Seconds(), id)
	}
	summary := fmt.Sprintf("%d of %d accepted jobs can't be read at the end", len(lost), len(ids))
	record("%s", summary)
	fmt.Println(summary)
	return len(lost) == 0
}

// addFormerMachines writes what store machines that were replaced have left in the platform's store:
// the entries that they wrote themselves as they started. Their addresses say nothing.
func (d *deployment) addFormerMachines(perZone int) {
	for i := range zoneCount * perZone {
		d.store.Write("nodes", fmt.Sprintf("store-%s-%d", zoneName(i), 2+i/zoneCount), map[string]any{
			"address": silentAddress(), "zone": zoneName(i), "region": "ulaanbaatar", "started": time.Now().Add(-time.Duration(i+1) * time.Hour).UnixMilli(),
		})
	}
}

// silentAddress returns a loopback address that answers nothing, so that connections to it hang: a
// listener whose queue is full.
func silentAddress() string {
	listener, err := net.Listen("tcp4", freeAddress())
	if err != nil {
		couldNotRun("%v", err)
	}
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		couldNotRun("%v", err)
	}
	silent = append(silent, listener)
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	for {
		conn, err := net.DialTimeout("tcp4", listener.Addr().String(), 50*time.Millisecond)
		if err != nil {
			return listener.Addr().String()
		}
		fillers = append(fillers, conn)
	}
}

var (
	silent  []net.Listener // kept open
	fillers []net.Conn     // take the room of new connections
)

// unreadable lists the jobs that no front reads whole within a time. All jobs are read at all fronts at the
// same time, again and again.
func (d *deployment) unreadable(ids []string, limit time.Duration) (missing []string) {
	end := time.Now().Add(limit)
	readable := make([]atomic.Bool, len(ids))
	var reads sync.WaitGroup
	for i, id := range ids {
		for _, front := range d.fronts() {
			reads.Go(func() {
				for !readable[i].Load() && time.Now().Before(end) {
					status, total := readTotal(front.callers, id)
					record("read of %s at %s: status %d, %d items", id, front.name, status, total)
					if total == jobItems {
						readable[i].Store(true)
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	reads.Wait()
	for i, id := range ids {
		if !readable[i].Load() {
			missing = append(missing, id)
		}
	}
	return missing
}

// readTotal reads a job once, from its start.
func readTotal(front, id string) (status, total int) {
	var page struct {
		Total int `json:"total"`
	}
	status, body := call(http.MethodGet, front, "/-/lots/"+id+"?sinceRevision=0", "", nil)
	if status != http.StatusOK || json.Unmarshal(body, &page) != nil {
		return status, 0
	}
	return status, page.Total
}
