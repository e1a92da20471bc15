package query

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/fleet/registry"
	"chutelock.dev/chutelock/internal/membership"
)

var self = membership.Member{Name: "node-a", Address: "127.0.0.1:7001", Zone: "zone", Region: "region"}

type fixedMembers struct{}

func (fixedMembers) Self() membership.Member { return self }
func (fixedMembers) View() *membership.View {
	return &membership.View{Members: []membership.Member{self, {Name: "node-b", Zone: "zone", Region: "region", State: membership.StateDead}}}
}

type fixedRegistry struct{ registry *registry.Registry }

func (f fixedRegistry) Inspect(query func(time.Time, *registry.Registry)) {
	query(time.Now(), f.registry)
}

func TestHandlersReportFleetAndEvents(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	known := registry.New(registry.Config{Self: self}, now)
	known.SetView(now, fixedMembers{}.View())
	known.HandleStore(now, 5, []fleet.Spec{{Name: "engine-1", Address: "127.0.0.1:1", Zone: "zone", Region: "region", Models: []string{"m"}}})
	known.Tick(now)
	known.HandleLoad(now, "engine-1", engine.Load{Running: 3, Draining: true}, nil)
	mux := http.NewServeMux()
	Register(mux, fixedMembers{}, fixedRegistry{known})
	server := httptest.NewServer(mux)
	defer server.Close()

	response, err := http.Get(server.URL + PathFleet)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Body.Close()
	var answer Fleet
	g.Expect(json.NewDecoder(response.Body).Decode(&answer)).To(gomega.Succeed())
	g.Expect(answer.Ready).To(gomega.BeTrue())
	g.Expect(answer.ListRevision).To(gomega.BeEquivalentTo(5))
	g.Expect(answer.Nodes).To(gomega.HaveLen(2))
	g.Expect(answer.Nodes[0].Roles).To(gomega.ConsistOf("zone delegate", "store reader"))
	g.Expect(answer.Nodes[0].Engines).To(gomega.Equal(1))
	g.Expect(answer.Nodes[1].State).To(gomega.Equal("dead"))
	g.Expect(answer.Engines).To(gomega.HaveLen(1))
	g.Expect(answer.Engines[0].Home).To(gomega.Equal("node-a"))
	g.Expect(answer.Engines[0].Sources).To(gomega.ConsistOf("engine report"))

	for query, status := range map[string]int{"?limit=3": 200, "?from=x": 400, "?to=-1": 400} {
		response, err := http.Get(server.URL + PathEvents + query)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		response.Body.Close()
		g.Expect(response.StatusCode).To(gomega.Equal(status), query)
	}
}
