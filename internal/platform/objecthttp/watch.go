package objecthttp

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/platform"
)

// Errors of Watch, beside those of package platform.
var (
	// ErrWatchEnded: the platform ended the watch; another may follow it.
	ErrWatchEnded = errors.New("objecthttp: watch ended")
	// ErrWatchSilent: not even a bookmark came in time.
	ErrWatchSilent = errors.New("objecthttp: watch silent")
	// ErrWatchOrder: a revision came that is not above the one before.
	ErrWatchOrder = errors.New("objecthttp: watch out of order")
)

const (
	eventError = "ERROR"
	// maxStatus bounds what is read of an error's text, in bytes.
	maxStatus = 4 << 10
)

// eventBody is one line of a watch.
type eventBody struct {
	Type   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

// Watch implements platform.Store. Bookmarks are asked for and delivered.
// Revisions rise strictly, but for bookmarks, which may repeat the last one.
func (c *Client) Watch(ctx context.Context, kind string, after uint64, deliver func(platform.Event) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	query := url.Values{
		"watch":               {"1"},
		"allowWatchBookmarks": {"true"},
		"resourceVersion":     {strconv.FormatUint(after, 10)},
	}
	address := c.base + objectsRoot + url.PathEscape(kind) + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return c.watchError(kind, err)
	}
	watchdog := c.watchdog(cancel)
	defer watchdog.Stop()
	response, err := c.watches.Do(request)
	if err != nil {
		return c.watchError(kind, cause(ctx, err))
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		_, _ = io.CopyN(io.Discard, response.Body, maxStatus)
		return c.watchError(kind, statusError(response.StatusCode, response.Status))
	}
	decoder := json.NewDecoder(response.Body)
	for {
		var body eventBody
		if err := decoder.Decode(&body); err != nil {
			return c.watchError(kind, cause(ctx, ended(err)))
		}
		c.feed(watchdog)
		event, err := body.event(kind)
		if err != nil {
			return c.watchError(kind, err)
		}
		revision := event.Object.Revision
		if revision < after || revision == after && event.Type != platform.EventBookmark {
			return c.watchError(kind, trace.Wrap(ErrWatchOrder, "%d after %d", revision, after))
		}
		after = revision
		if err := deliver(event); err != nil {
			return err
		}
	}
}

func (c *Client) watchError(kind string, err error) error {
	return trace.Wrap(err, "platform %s: watch %s", c.base, kind)
}

// noSilence stands for a bound that is never reached.
const noSilence = 1 << 62

// watchdog ends a watch that is silent for too long.
func (c *Client) watchdog(cancel context.CancelCauseFunc) *time.Timer {
	bound := c.silence
	if bound <= 0 {
		bound = noSilence
	}
	return time.AfterFunc(bound, func() { cancel(ErrWatchSilent) })
}

func (c *Client) feed(watchdog *time.Timer) {
	if c.silence > 0 {
		watchdog.Reset(c.silence)
	}
}

// cause prefers why ctx ended over what that did to the connection.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

func ended(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrWatchEnded
	}
	return err
}

func (b eventBody) event(kind string) (platform.Event, error) {
	if b.Type == eventError {
		var status struct {
			Code    int    `json:"code"`
			Message string `json:"message"`
		}
		if err := json.Unmarshal(b.Object, &status); err != nil {
			return platform.Event{}, err
		}
		return platform.Event{}, statusError(status.Code, status.Message)
	}
	var body objectBody
	if err := json.Unmarshal(b.Object, &body); err != nil {
		return platform.Event{}, err
	}
	object, err := body.object(kind)
	return platform.Event{Type: platform.EventType(b.Type), Object: object}, err
}
