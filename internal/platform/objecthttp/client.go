package objecthttp

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/httpconn"
	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/rawjson"
)

const (
	objectsRoot = "/apis/chutelock.dev/v1/"
	apiVersion  = "chutelock.dev/v1"
)

// DefaultTimeout is the timeout of each call except watches.
const DefaultTimeout = 5 * time.Second

// maxAnswerBytes bounds the body of an answer; a list has all objects of its kind.
const maxAnswerBytes = 64 << 20

// Options configure a Client.
type Options struct {
	// Timeout bounds each call except watches; 0 means DefaultTimeout.
	Timeout time.Duration
	// MaxSilence is the time without events and bookmarks after which a watch fails
	// with ErrWatchSilent; 0 means no limit.
	MaxSilence time.Duration
}

// Client is a client of the platform's HTTP API.
type Client struct {
	base        string
	callClient  *resty.Client
	watchClient *http.Client
	maxSilence  time.Duration
}

var (
	_ platform.Store    = (*Client)(nil)
	_ platform.Leases   = (*Client)(nil)
	_ platform.Machines = (*Client)(nil)
)

// New returns a client of the platform at address, an "ip:port".
func New(address string, options Options) *Client {
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	base := "http://" + address
	transport := httpconn.NewTransport()
	return &Client{
		base:        base,
		callClient:  resty.NewWithClient(&http.Client{Transport: transport}).SetBaseURL(base).SetTimeout(options.Timeout).SetResponseBodyLimit(maxAnswerBytes),
		watchClient: &http.Client{Transport: transport},
		maxSilence:  options.MaxSilence,
	}
}

// objectBody is the JSON form of an object.
type objectBody struct {
	APIVersion string          `json:"apiVersion,omitempty"`
	Kind       string          `json:"kind,omitempty"`
	Metadata   metadata        `json:"metadata"`
	Spec       json.RawMessage `json:"spec,omitempty"`
}

type metadata struct {
	Name            string `json:"name,omitempty"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

type listBody struct {
	Metadata metadata     `json:"metadata"`
	Items    []objectBody `json:"items"`
}

func (b objectBody) object(kind string) (platform.Object, error) {
	revision, err := parseRevision(b.Metadata.ResourceVersion)
	return platform.Object{Kind: kind, Name: b.Metadata.Name, Revision: revision, Spec: b.Spec}, err
}

func parseRevision(s string) (uint64, error) {
	revision, err := strconv.ParseUint(s, 10, 64)
	return revision, trace.Wrap(err, "resourceVersion %q", s)
}

func formatRevision(revision uint64) string {
	if revision == 0 {
		return ""
	}
	return strconv.FormatUint(revision, 10)
}

// objectPath returns the path of an object. Slashes in its name are not escaped.
func objectPath(kind, name string) string {
	parts := strings.Split(name, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return objectsRoot + url.PathEscape(kind) + "/" + strings.Join(parts, "/")
}

// check returns an error that names the platform and the step if a call failed.
func (c *Client) check(step string, response *resty.Response, err error) error {
	if err == nil && response.IsSuccess() {
		return nil
	}
	if err == nil {
		err = statusError(response.StatusCode(), response.Status())
	}
	return trace.Wrap(err, "platform %s: %s", c.base, step)
}

func statusError(code int, status string) error {
	switch code {
	case http.StatusConflict:
		return platform.ErrConflict
	case http.StatusNotFound:
		return platform.ErrNotFound
	case http.StatusGone:
		return platform.ErrCompacted
	case http.StatusTooManyRequests:
		return platform.ErrBudget
	}
	return trace.BadParameter("answered %s", status)
}

// decodeObject decodes the object in an answer. After an error, the call may have taken
// effect.
func (c *Client) decodeObject(step, kind string, response *resty.Response) (platform.Object, error) {
	var body objectBody
	if err := rawjson.Decode(response.Body(), &body); err != nil {
		return platform.Object{}, trace.Wrap(err, "platform %s: %s", c.base, step)
	}
	return body.object(kind)
}

// Get implements platform.Store.
func (c *Client) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	step := "get " + kind + "/" + name
	response, err := c.callClient.R().SetContext(ctx).Get(objectPath(kind, name))
	if err := c.check(step, response, err); err != nil {
		return platform.Object{}, err
	}
	return c.decodeObject(step, kind, response)
}

// List implements platform.Store.
func (c *Client) List(ctx context.Context, kind string) ([]platform.Object, uint64, error) {
	step := "list " + kind
	response, err := c.callClient.R().SetContext(ctx).Get(objectsRoot + url.PathEscape(kind))
	if err := c.check(step, response, err); err != nil {
		return nil, 0, err
	}
	var body listBody
	if err := rawjson.Decode(response.Body(), &body); err != nil {
		return nil, 0, trace.Wrap(err, "platform %s: %s", c.base, step)
	}
	revision, err := parseRevision(body.Metadata.ResourceVersion)
	if err != nil {
		return nil, 0, err
	}
	objects := make([]platform.Object, 0, len(body.Items))
	for _, item := range body.Items {
		object, err := item.object(kind)
		if err != nil {
			return nil, 0, err
		}
		objects = append(objects, object)
	}
	return objects, revision, nil
}

// Put implements platform.Store.
func (c *Client) Put(ctx context.Context, object platform.Object) (platform.Object, error) {
	step := "put " + object.Kind + "/" + object.Name
	body := objectBody{
		APIVersion: apiVersion,
		Kind:       object.Kind,
		Metadata:   metadata{Name: object.Name, ResourceVersion: formatRevision(object.Revision)},
		Spec:       object.Spec,
	}
	response, err := c.callClient.R().SetContext(ctx).SetBody(body).Put(objectPath(object.Kind, object.Name))
	if err := c.check(step, response, err); err != nil {
		return platform.Object{}, err
	}
	return c.decodeObject(step, object.Kind, response)
}

// Delete implements platform.Store; revision 0 deletes any revision.
func (c *Client) Delete(ctx context.Context, kind, name string, revision uint64) error {
	call := c.callClient.R().SetContext(ctx)
	if revision != 0 {
		call.SetQueryParam("resourceVersion", formatRevision(revision))
	}
	response, err := call.Delete(objectPath(kind, name))
	return c.check("delete "+kind+"/"+name, response, err)
}

// leaseBody is the JSON form of a lease; TTL has the format of time.ParseDuration.
type leaseBody struct {
	Name    string    `json:"name,omitempty"`
	Holder  string    `json:"holder"`
	Epoch   uint64    `json:"epoch,omitempty"`
	TTL     string    `json:"ttl"`
	Renewed time.Time `json:"renewed,omitzero"`
}

func leasePath(name string) string {
	parts := strings.Split(name, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return "/leases/" + strings.Join(parts, "/")
}

// Acquire implements platform.Leases.
func (c *Client) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (platform.Lease, error) {
	step := "acquire lease " + name
	response, err := c.callClient.R().SetContext(ctx).SetBody(leaseBody{Holder: holder, TTL: ttl.String()}).Post(leasePath(name))
	acquireErr := c.check(step, response, err)
	if acquireErr != nil && !errors.Is(acquireErr, platform.ErrConflict) {
		return platform.Lease{}, acquireErr
	}
	var body leaseBody
	if err := json.Unmarshal(response.Body(), &body); err != nil {
		return platform.Lease{}, trace.Wrap(err, "platform %s: %s", c.base, step)
	}
	granted, err := time.ParseDuration(body.TTL)
	if err != nil {
		return platform.Lease{}, trace.Wrap(err, "platform %s: %s", c.base, step)
	}
	return platform.Lease{Name: body.Name, Holder: body.Holder, Epoch: body.Epoch, TTL: granted, Renewed: body.Renewed}, acquireErr
}

// Release implements platform.Leases.
func (c *Client) Release(ctx context.Context, name, holder string, epoch uint64) error {
	response, err := c.callClient.R().SetContext(ctx).
		SetQueryParam("holder", holder).
		SetQueryParam("epoch", strconv.FormatUint(epoch, 10)).
		Delete(leasePath(name))
	return c.check("release lease "+name, response, err)
}

// Machines implements platform.Machines.
func (c *Client) Machines(ctx context.Context) ([]platform.Machine, error) {
	response, err := c.callClient.R().SetContext(ctx).Get("/machines")
	if err := c.check("list machines", response, err); err != nil {
		return nil, err
	}
	var body struct {
		Items []platform.Machine `json:"items"`
	}
	if err := json.Unmarshal(response.Body(), &body); err != nil {
		return nil, trace.Wrap(err, "platform %s: list machines", c.base)
	}
	return body.Items, nil
}

// Register adds a machine to the list, or renews or updates its entry. Nodes register
// themselves.
func (c *Client) Register(ctx context.Context, machine platform.Machine) error {
	response, err := c.callClient.R().SetContext(ctx).SetBody(machine).Post("/machines")
	return c.check("register "+machine.Name, response, err)
}

// Deregister removes a machine from the list.
func (c *Client) Deregister(ctx context.Context, name string) error {
	response, err := c.callClient.R().SetContext(ctx).Delete("/machines/" + url.PathEscape(name))
	return c.check("deregister "+name, response, err)
}
