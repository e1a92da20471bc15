package registry

import (
	"strconv"
	"time"

	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/fleet/announce"
)

// onlineExpiry is the age at which an online request counts as ended.
const onlineExpiry = 2 * time.Minute

// onlineRequest is an announced online request.
type onlineRequest struct {
	engine  uint64
	started time.Time
}

// HandleAnnouncements processes announcements of online requests.
func (r *Registry) HandleAnnouncements(now time.Time, records []announce.Record) Output {
	for _, record := range records {
		state, known := r.engines[record.Engine]
		if !known || !r.isHome(state) {
			continue
		}
		request := strconv.FormatUint(record.Request, 16)
		_, running := r.online[request]
		switch {
		case record.Started && !running:
			r.online[request] = onlineRequest{engine: record.Engine, started: now}
			r.emitHomeEvent(fleet.HomeEvent{
				Kind: fleet.HomeOnlineStarted, Request: request, PromptTokens: int(record.PromptTokens),
			}, state)
		case !record.Started && running:
			delete(r.online, request)
			r.emitHomeEvent(fleet.HomeEvent{Kind: fleet.HomeOnlineFinished, Request: request}, state)
		}
	}
	return r.takeOutput()
}

func (r *Registry) expireOnline(now time.Time) {
	for request, running := range r.online {
		if now.Sub(running.started) <= onlineExpiry {
			continue
		}
		delete(r.online, request)
		if state, known := r.engines[running.engine]; known && r.isHome(state) {
			r.emitHomeEvent(fleet.HomeEvent{Kind: fleet.HomeOnlineFinished, Request: request}, state)
		}
	}
}

func (r *Registry) dropOnline(engine uint64) {
	for request, running := range r.online {
		if running.engine == engine {
			delete(r.online, request)
		}
	}
}
