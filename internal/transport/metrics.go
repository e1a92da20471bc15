package transport

import (
	"fmt"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics counts the traffic sent to peers by message type and component.
type metrics struct {
	bytes   *prometheus.CounterVec
	sent    *prometheus.CounterVec
	dropped prometheus.Counter
	refused prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) *metrics {
	labels := []string{"type", "concern"}
	m := &metrics{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chutelock_transport_sent_bytes_total", Help: "Payload bytes sent to peers."}, labels),
		sent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chutelock_transport_sent_total", Help: "Messages sent to peers."}, labels),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chutelock_transport_dropped_total", Help: "One-way messages dropped because a peer's queue was full."}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chutelock_transport_refused_total", Help: "Connections and datagrams that were not authentic."}),
	}
	if registry != nil {
		registry.MustRegister(m.bytes, m.sent, m.dropped, m.refused)
	}
	return m
}

var componentNames = map[Kind]string{
	KindLedger: "ledger", KindJobs: "jobs", KindSettings: "settings",
	KindMembership: "membership", KindFleet: "fleet", KindNode: "node",
}

func (m *metrics) count(messageType string, kind Kind, size int) {
	component, ok := componentNames[kind&0xff00]
	if !ok {
		component = fmt.Sprintf("%#x", uint16(kind&0xff00))
	}
	m.bytes.WithLabelValues(messageType, component).Add(float64(size))
	m.sent.WithLabelValues(messageType, component).Inc()
}
