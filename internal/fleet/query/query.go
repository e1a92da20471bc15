// Package query serves operators' queries about the fleet: nodes, engines and
// their homes, engines that are leaving and why, and this node's recent
// events.
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
	Engines     int      `json:"engines"` // whose home it is, as far as known here
}

// Engine is an engine as this node sees it.
type Engine struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Home    string `json:"home"`
	Leaving bool   `json:"leaving"`
	// Sources lists what reports the engine as leaving.
	Sources      []string  `json:"sources,omitempty"`
	Models       []string  `json:"models"`
	Running      int       `json:"running"`
	Waiting      int       `json:"waiting"`
	RunningBatch int       `json:"running_batch"`
	KVUse        float64   `json:"kv_use"`
	Measured     time.Time `json:"measured"`
	FencingToken uint64    `json:"fencing_token"`
	// Sampled is set for engines of other zones, known from their summaries.
	Sampled bool `json:"sampled"`
}

// Fleet is the response body of PathFleet.
type Fleet struct {
	Node         string                  `json:"node"`
	Ready        bool                    `json:"ready"`
	ListRevision uint64                  `json:"list_revision"`
	Nodes        []Node                  `json:"nodes"`
	Engines      []Engine                `json:"engines"`
	Zones        []registry.ZoneCapacity `json:"zones"`
}

// Inspector runs a query on the registry of engines.
type Inspector interface {
	Inspect(query func(now time.Time, registry *registry.Registry))
}

// Describe returns the nodes, engines and zones that this node knows.
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
	for _, listed := range answer.Engines {
		homes[listed.Home]++
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

// rolesOf returns the elected roles by member name. Elections depend on the
// view alone, so this matches what the members compute.
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

// serveEvents returns this process's newest events, oldest first; the query
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
	_ = json.NewEncoder(writer).Encode(body) // the client may have disconnected
}
