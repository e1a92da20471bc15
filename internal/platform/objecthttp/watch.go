package objecthttp

import (
	"bufio"
	"bytes"
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
	"chutelock.dev/chutelock/internal/rawjson"
)

// Errors of Watch, in addition to those of package platform.
var (
	// ErrWatchEnded means that the platform ended the watch; a new one may be started.
	ErrWatchEnded = errors.New("objecthttp: watch ended")
	// ErrWatchSilent means that no event or bookmark was received within Options.MaxSilence.
	ErrWatchSilent = errors.New("objecthttp: watch silent")
	// ErrWatchOrder means that an event's revision was not above the previous one.
	ErrWatchOrder = errors.New("objecthttp: watch out of order")
)

const (
	eventError = "ERROR"
	// maxErrorBody is how much of an error response is read and discarded, in bytes.
	maxErrorBody = 4 << 10
	// maxEventBytes bounds the line of an event.
	maxEventBytes = 16 << 20
)

// eventBody is the JSON form of a watch event.
type eventBody struct {
	Type   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

// Watch implements platform.Store. Bookmarks are requested and delivered.
// Revisions increase strictly, except that a bookmark may repeat the last one.
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
	watchdog := c.startWatchdog(cancel)
	defer watchdog.Stop()
	response, err := c.watchClient.Do(request)
	if err != nil {
		return c.watchError(kind, contextCause(ctx, err))
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		_, _ = io.CopyN(io.Discard, response.Body, maxErrorBody)
		return c.watchError(kind, statusError(response.StatusCode, response.Status))
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxEventBytes)
	lines.Split(wholeLines)
	for {
		var body eventBody
		if !lines.Scan() {
			return c.watchError(kind, contextCause(ctx, watchEnd(lines.Err())))
		}
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		if err := rawjson.Decode(lines.Bytes(), &body); err != nil {
			return c.watchError(kind, err)
		}
		c.resetWatchdog(watchdog)
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

// unlimitedSilence is a timeout that never expires in practice, about 146 years.
const unlimitedSilence = 1 << 62

// startWatchdog cancels a watch with ErrWatchSilent after Options.MaxSilence without a reset.
func (c *Client) startWatchdog(cancel context.CancelCauseFunc) *time.Timer {
	timeout := c.maxSilence
	if timeout <= 0 {
		timeout = unlimitedSilence
	}
	return time.AfterFunc(timeout, func() { cancel(ErrWatchSilent) })
}

func (c *Client) resetWatchdog(watchdog *time.Timer) {
	if c.maxSilence > 0 {
		watchdog.Reset(c.maxSilence)
	}
}

// contextCause returns the cause of ctx's end, or err if ctx has not ended.
func contextCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// wholeLines is bufio.ScanLines without the last line of a response that ends inside it.
func wholeLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if atEOF && !bytes.Contains(data, []byte("\n")) {
		return len(data), nil, nil
	}
	return bufio.ScanLines(data, false)
}

// watchEnd returns ErrWatchEnded for the end of a response's body.
func watchEnd(err error) error {
	if err == nil || errors.Is(err, io.ErrUnexpectedEOF) {
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
	if err := rawjson.Decode(b.Object, &body); err != nil {
		return platform.Event{}, err
	}
	object, err := body.object(kind)
	return platform.Event{Type: platform.EventType(b.Type), Object: object}, err
}
