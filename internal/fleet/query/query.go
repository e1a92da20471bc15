// Package query answers operators' questions about the fleet: which nodes and
// engines there are, who is whose home, what leaves and which source says so,
// and what this node decided lately.
package query

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"chutelock.dev/chutelock/internal/fleet/registry"
	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/telemetry"
)

// Paths on the operator port.
const (
	PathFleet  = "/operator/fleet"
	PathEvents = "/operator/events"
)

// Node is a member as this node sees it.
type Node struct {
	Name        string   `json:"name"`
	Address     string   `json:"address"`
	Callers     string   `json:"callers"`
	Zone        string   `json:"zone"`
	Region      string   `json:"region"`
	State       string   `json:"state"`
	Incarnation uint64   `json:"incarnation"`
	HasData     bool     `json:"has_data"`
	Roles       []string `json:"roles,omitempty"`
	Engines     int      `json:"engines"` // of which it is home, as far as known here
}

// Engine is an engine as this node sees it.
type Engine struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Home    string `json:"home"`
	Leaving bool   `json:"leaving"`
	// Sources say why it is leaving.
	Sources      []string  `json:"sources,omitempty"`
	Models       []string  `json:"models"`
	Running      int       `json:"running"`
	Waiting      int       `json:"waiting"`
	RunningBatch int       `json:"running_batch"`
	KVUse        float64   `json:"kv_use"`
	Measured     time.Time `json:"measured"`
	FencingToken uint64    `json:"fencing_token"`
	// Sampled engines are of other zones, from their summaries.
	Sampled bool `json:"sampled"`
}

// Fleet is the answer of PathFleet.
type Fleet struct {
	Node         string                  `json:"node"`
	Ready        bool                    `json:"ready"`
	ListRevision uint64                  `json:"list_revision"`
	Nodes        []Node                  `json:"nodes"`
	Engines      []Engine                `json:"engines"`
	Zones        []registry.ZoneCapacity `json:"zones"`
}

// Inspector gives access to the registry of engines.
type Inspector interface {
	Inspect(query func(now time.Time, registry *registry.Registry))
}

// Describe collects what this node knows.
func Describe(members membership.Source, engines Inspector) Fleet {
	answer := Fleet{Node: members.Self().Name}
	engines.Inspect(func(now time.Time, known *registry.Registry) {
		answer.Ready = known.Ready()
		answer.ListRevision = known.ListRevision()
		answer.Zones = known.Capacities(now)
		for _, status := range known.Statuses() {
			answer.Engines = append(answer.Engines, describeEngine(status))
		}
	})
	homes := map[string]int{}
	for _, one := range answer.Engines {
		homes[one.Home]++
	}
	view := members.View()
	roles := rolesOf(view)
	for _, member := range view.Members {
		answer.Nodes = append(answer.Nodes, Node{
			Name: member.Name, Address: string(member.Address), Callers: member.Callers,
			Zone: member.Zone, Region: member.Region, State: member.State.String(),
			Incarnation: member.Incarnation, HasData: member.HasData,
			Roles: roles[member.Name], Engines: homes[member.Name],
		})
	}
	return answer
}

func describeEngine(status registry.Status) Engine {
	endpoint := status.Endpoint
	return Engine{
		Name: endpoint.Name, Address: endpoint.Address, Zone: endpoint.Zone, Home: endpoint.Home,
		Leaving: endpoint.Leaving, Sources: status.Sources.Names(), Models: endpoint.Load.Models,
		Running: endpoint.Load.Running, Waiting: endpoint.Load.Waiting,
		RunningBatch: endpoint.Load.RunningBatch, KVUse: endpoint.Load.KVUse,
		Measured: endpoint.Load.At, FencingToken: endpoint.Load.FencingToken, Sampled: status.Sampled,
	}
}

// rolesOf computes the elected roles of all members from the view alone, as
// the members themselves do.
func rolesOf(view *membership.View) map[string][]string {
	roles := map[string][]string{}
	add := func(role string, elected []membership.Member) {
		for _, member := range elected {
			roles[member.Name] = append(roles[member.Name], role)
		}
	}
	regions := map[string]bool{}
	for _, zone := range view.Zones() {
		live := view.LiveInZone(zone)
		add("zone delegate", registry.Delegates(zone, live))
		regions[live[0].Region] = true
	}
	for region := range regions {
		add("store reader", membership.Elect(registry.ReaderRole(region), view.LiveInRegion(region), registry.Readers))
	}
	return roles
}

// Register adds the handlers to the operator port's mux.
func Register(mux *http.ServeMux, members membership.Source, engines Inspector) {
	mux.HandleFunc("GET "+PathFleet, func(writer http.ResponseWriter, _ *http.Request) {
		answer(writer, Describe(members, engines))
	})
	mux.HandleFunc("GET "+PathEvents, serveEvents)
}

// serveEvents lists this process's newest events, oldest first; the query
// parameters from and to bound the event numbers, and limit the count.
func serveEvents(writer http.ResponseWriter, request *http.Request) {
	bounds := map[string]int{"from": 0, "to": 1 << 30, "limit": 200}
	for name := range bounds {
		text := request.URL.Query().Get(name)
		if text == "" {
			continue
		}
		value, err := strconv.Atoi(text)
		if err != nil || value < 0 {
			http.Error(writer, name+": want a number from 0", http.StatusBadRequest)
			return
		}
		bounds[name] = value
	}
	records := []telemetry.Record{}
	for _, record := range telemetry.Recent() {
		if record.Number >= bounds["from"] && record.Number <= bounds["to"] {
			records = append(records, record)
		}
	}
	answer(writer, records[max(0, len(records)-bounds["limit"]):])
}

func answer(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(body) // the caller may be gone
}
