package replica

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	applied       prometheus.Counter
	snapshotBytes prometheus.Counter
	leading       prometheus.Gauge
	replicas      prometheus.Gauge
	noQuorum      prometheus.Gauge
	zoneExposed   prometheus.Gauge
	diskBytes     prometheus.Gauge
	diskFailed    prometheus.Gauge
	halted        prometheus.Gauge
	voters        *prometheus.GaugeVec // by region, set at the leader of its shard
}

// updateRegionVoters sets the voter count of a regional shard, or removes it if this
// node doesn't lead the shard.
func (m *metrics) updateRegionVoters(shard *Shard) {
	if !shard.id.Regional() {
		return
	}
	labels := prometheus.Labels{"region": shard.service.Region(shard.id)}
	if voters := shard.voters(); voters > 0 {
		m.voters.With(labels).Set(float64(voters))
	} else {
		m.voters.Delete(labels)
	}
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		applied: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chutelock_ledger_applied_entries_total",
			Help: "Committed entries that this node's replicas have applied.",
		}),
		snapshotBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chutelock_ledger_snapshot_received_bytes_total",
			Help: "Bytes of snapshots that this node's replicas have received.",
		}),
		leading: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chutelock_ledger_leading_shards",
			Help: "Shards that this node leads.",
		}),
		replicas: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chutelock_ledger_replicas",
			Help: "Replicas that this node holds.",
		}),
		noQuorum: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chutelock_ledger_shards_without_quorum",
			Help: "Shards of this node's replicas that have had no leader for long.",
		}),
		zoneExposed: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chutelock_ledger_shards_exposed_to_zone",
			Help: "Shards led here that would have no majority after the loss of one more zone; 0 unless zone_losses is set.",
		}),
		diskBytes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chutelock_ledger_disk_bytes",
			Help: "Disk space that the ledger folder uses.",
		}),
		diskFailed: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chutelock_ledger_disk_failed",
			Help: "1 while the ledger's disk refuses writes and its replicas are halted.",
		}),
		halted: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chutelock_ledger_replicas_halted",
			Help: "Replicas of this node that stopped because their disk or their state machine failed.",
		}),
	}
	m.voters = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "chutelock_ledger_region_voters",
		Help: "Voters of the shard of a region, at the node that leads it.",
	}, []string{"region"})
	if registry != nil {
		registry.MustRegister(m.applied, m.snapshotBytes, m.leading, m.replicas, m.noQuorum, m.zoneExposed, m.diskBytes, m.diskFailed, m.halted, m.voters)
	}
	return m
}
