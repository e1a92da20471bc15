package node

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/callerconn/conntest"
	"chutelock.dev/chutelock/internal/config"
	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/platform/objecthttp"
	"chutelock.dev/chutelock/internal/settings/tree"
	standin "chutelock.dev/chutelock/internal/standin/engine"
	"chutelock.dev/chutelock/internal/standin/fault"
	"chutelock.dev/chutelock/internal/standin/standintest"
)

const (
	// waitTimeout limits waits that succeed earlier unless the test fails.
	waitTimeout = 30 * time.Second
	testKey     = "key-of-nairamdal"
)

const testSettings = `path: fleet
kind: folder
---
path: fleet/drafting
kind: service
model: ` + standintest.Model + `
queueLimit: 200
slotsPerEngine: 8
retryBudget: 0.1
timeToFirstToken: 30s
models: [` + standintest.Model + `]
---
path: fleet/drafting/caseworkers
kind: tenant
keys: [` + testKey + `]
`

// runningNode is a node before one engine, with stand-ins in the test's process.
type runningNode struct {
	*Node
	g       *gomega.WithT
	engine  *standintest.Standin
	address string // of the callers' port
}

func startNode(t *testing.T) *runningNode {
	g := gomega.NewWithT(t)
	store := standintest.Platform(t, nil)
	nodes, problems := tree.ParseFile("test", []byte(testSettings))
	g.Expect(problems).To(gomega.BeEmpty())
	for _, setting := range nodes {
		spec, err := tree.Encode(setting)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = objecthttp.New(store.Address, objecthttp.Options{}).Put(t.Context(), platform.Object{
			Kind: platform.KindSetting, Name: tree.ObjectName(setting.Path), Spec: spec})
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	engine := standintest.Engine(t, func(c *standin.Config) {
		c.Zone, c.Region, c.Platform = "hall-a", "north", store.Address
	})
	folder := t.TempDir()
	keys := filepath.Join(folder, "keys")
	g.Expect(os.WriteFile(keys, []byte("00112233445566778899aabbccddeeff\n"), 0o600)).To(gomega.Succeed())
	settings, err := config.Load("", config.Overrides{
		"node.name": "n1", "node.zone": "hall-a", "node.region": "north", "peers.key_file": keys,
		"platform.address": store.Address, "data.folder": filepath.Join(folder, "data"), "ledger.shards": 1,
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	n, err := Open(settings)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	n.Start()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	g.Expect(n.WaitReady(ctx)).To(gomega.Succeed())
	running := &runningNode{Node: n, g: g, engine: engine, address: n.Addresses().Callers}
	g.Eventually(func() error { return running.complete("first", nil) }, waitTimeout).Should(gomega.Succeed())
	return running
}

// drain stops the node as planned within the given time.
func (n *runningNode) drain(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	n.Drain(ctx)
}

// request returns a completion request of a few tokens.
func (n *runningNode) request(prompt string) *http.Request {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":5}`, standintest.Model, prompt)
	request, err := http.NewRequest(http.MethodPost, "http://"+n.address+"/v1/completions", strings.NewReader(body))
	n.g.Expect(err).NotTo(gomega.HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Content-Type", "application/json")
	return request
}

// reply is a response that came to its end.
type reply struct {
	status  int
	code    string
	message string
}

func readReply(response *http.Response) (reply, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{}, err
	}
	var object struct {
		Error struct{ Code, Message string }
	}
	err = json.Unmarshal(body, &object)
	return reply{response.StatusCode, object.Error.Code, object.Error.Message}, err
}

// ask sends a request on a new connection.
func ask(request *http.Request) (reply, error) {
	request.Close = true
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return reply{}, err
	}
	return readReply(response)
}

// complete returns an error unless a request is served.
func (n *runningNode) complete(prompt string, change func(*http.Request)) error {
	request := n.request(prompt)
	if change != nil {
		change(request)
	}
	got, err := ask(request)
	if err == nil && got.status != http.StatusOK {
		err = fmt.Errorf("%+v", got)
	}
	return err
}

// Guards against a node whose requests end without a response when its time to stop is over.
func TestStoppingNodeAnswersWhatItHasNoTimeFor(t *testing.T) {
	n := startNode(t)
	n.engine.Inject(fault.Fault{Kind: fault.Silent, Path: "/v1/completions"})
	type result struct {
		reply
		err error
	}
	const requests = 10 // of which the engine takes 8
	results := make(chan result, requests)
	for i := range requests {
		request := n.request(fmt.Sprint("r", i))
		go func() {
			got, err := ask(request)
			results <- result{got, err}
		}()
	}
	n.g.Eventually(n.gateway.InFlight, waitTimeout).Should(gomega.BeEquivalentTo(requests))
	n.drain(3 * time.Second)
	statuses := map[int]int{}
	for range requests {
		got := <-results
		n.g.Expect(got.err).NotTo(gomega.HaveOccurred())
		statuses[got.status]++
	}
	n.g.Expect(statuses).To(gomega.Equal(map[int]int{http.StatusBadGateway: 8, http.StatusServiceUnavailable: 2}), "eight may have run")
}

// Guards against a stop that reads requests on open connections and drops them.
func TestStoppingNodeAnswersRequestsOnOpenConnections(t *testing.T) {
	n := startNode(t)
	var group sync.WaitGroup
	for i := range 30 {
		conn, err := net.Dial("tcp", n.address)
		n.g.Expect(err).NotTo(gomega.HaveOccurred())
		defer conn.Close()
		request := n.request(fmt.Sprint("r", i))
		group.Go(func() {
			time.Sleep(800*time.Millisecond + time.Duration(i)*20*time.Millisecond)
			if err := conntest.OnOpen(conn, func() error { return askOn(conn, request) }); err != nil {
				t.Errorf("request %d was sent on an open connection and got %v", i, err)
			}
		})
	}
	n.drain(20 * time.Second)
	group.Wait()
}

// askOn sends a request on a connection and reads the whole response.
func askOn(conn net.Conn, request *http.Request) error {
	if err := request.Write(conn); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	_, err = readReply(response)
	return err
}

// upload starts the upload of an input file whose last line is sent once finish is closed.
func (n *runningNode) upload(finish <-chan struct{}) <-chan error {
	var form bytes.Buffer
	writer := multipart.NewWriter(&form)
	n.g.Expect(writer.WriteField("purpose", "batch")).To(gomega.Succeed())
	part, err := writer.CreateFormFile("file", "items.jsonl")
	n.g.Expect(err).NotTo(gomega.HaveOccurred())
	_, _ = fmt.Fprintf(part, `{"custom_id":"a","method":"POST","url":"/v1/completions","body":{"model":%q,"prompt":"x","max_tokens":5}}`+"\n", standintest.Model)
	n.g.Expect(writer.Close()).To(gomega.Succeed())
	content := form.Bytes()
	body, input := io.Pipe()
	request, err := http.NewRequest(http.MethodPost, "http://"+n.address+"/v1/files", body)
	n.g.Expect(err).NotTo(gomega.HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Content-Type", writer.FormDataContentType())
	begun := make(chan struct{})
	go func() {
		_, _ = input.Write(content[:len(content)/2])
		close(begun)
		<-finish
		_, _ = input.Write(content[len(content)/2:])
		_ = input.Close()
	}()
	done := make(chan error, 1)
	go func() {
		got, err := ask(request)
		if err == nil && got.status != http.StatusOK {
			err = fmt.Errorf("status %d, %s", got.status, got.code)
		}
		done <- err
	}()
	<-begun
	return done
}

// awaitLedger waits until uploads are taken.
func (n *runningNode) awaitLedger() {
	finish := make(chan struct{})
	close(finish)
	n.g.Eventually(func() error { return <-n.upload(finish) }, waitTimeout).Should(gomega.Succeed())
}

// Guards against a stop that cuts off uploads while it has time left.
func TestStoppingNodeAnswersUploadUnderWay(t *testing.T) {
	n := startNode(t)
	n.awaitLedger()
	finish := make(chan struct{})
	uploaded := n.upload(finish)
	time.AfterFunc(8*time.Second, func() { close(finish) })
	n.drain(20 * time.Second)
	n.g.Expect(<-uploaded).To(gomega.Succeed())
}

// Guards against an upload without a response when the time to stop is over.
func TestStoppingNodeAnswersUploadItHasNoTimeFor(t *testing.T) {
	n := startNode(t)
	n.awaitLedger()
	finish := make(chan struct{})
	uploaded := n.upload(finish)
	n.drain(3 * time.Second)
	close(finish)
	n.g.Expect(<-uploaded).To(gomega.MatchError("status 503, not_run"))
}

// Guards against requests whose body is read late in a stop and that are passed on.
func TestStoppingNodeRefusesRequestReadLate(t *testing.T) {
	n := startNode(t)
	whole := n.request("late")
	content, err := io.ReadAll(whole.Body)
	n.g.Expect(err).NotTo(gomega.HaveOccurred())
	body, input := io.Pipe()
	request := n.request("late")
	request.Body = body
	type result struct {
		reply
		err error
	}
	results := make(chan result, 1)
	go func() {
		got, err := ask(request)
		results <- result{got, err}
	}()
	_, err = input.Write(content[:len(content)/2])
	n.g.Expect(err).NotTo(gomega.HaveOccurred())
	n.g.Eventually(n.gateway.InFlight, waitTimeout).Should(gomega.BeEquivalentTo(1))
	time.AfterFunc(4*time.Second, func() {
		_, _ = input.Write(content[len(content)/2:])
		_ = input.Close()
	})
	n.drain(7 * time.Second)
	got := <-results
	n.g.Expect(got.err).NotTo(gomega.HaveOccurred())
	n.g.Expect(got.status).To(gomega.Equal(http.StatusServiceUnavailable))
	n.g.Expect(got.code).To(gomega.Equal("not_run"))
}
