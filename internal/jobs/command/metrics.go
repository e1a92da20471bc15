package command

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chutelock.dev/chutelock/internal/ledger"
)

// Metrics of the shards that this node leads.
var (
	openJobsMetric = prometheus.NewDesc("chutelock_jobs_open",
		"Accepted jobs that are not final, at the shards led here.", nil, nil)
	leasedItemsMetric = prometheus.NewDesc("chutelock_jobs_leased_items",
		"Items that dispatchers hold, at the shards led here.", nil, nil)
	waitingItemsMetric = prometheus.NewDesc("chutelock_jobs_waiting_items",
		"Items that wait to be leased, at the shards led here.", []string{"model"}, nil)
	minSlackMetric = prometheus.NewDesc("chutelock_jobs_least_slack_seconds",
		"Least time to spare of the jobs that wait, at the measured rate.", []string{"model"}, nil)
	droppedResultsMetric = prometheus.NewDesc("chutelock_jobs_results_dropped_total",
		"Results that came second or too late, since this replica started to apply.", nil, nil)
)

var _ prometheus.Collector = (*Keeper)(nil)

// Describe implements prometheus.Collector.
func (k *Keeper) Describe(descriptions chan<- *prometheus.Desc) {
	for _, described := range []*prometheus.Desc{
		openJobsMetric, leasedItemsMetric, waitingItemsMetric, minSlackMetric, droppedResultsMetric,
	} {
		descriptions <- described
	}
}

// Collect implements prometheus.Collector.
func (k *Keeper) Collect(metrics chan<- prometheus.Metric) {
	var open, leased int
	var dropped uint64
	waiting := map[string]uint64{}
	slack := map[string]time.Duration{}
	for id := range ledger.ShardID(k.directory.Shards()) {
		shard, ok := k.directory.Local(id)
		if !ok {
			continue
		}
		if leading, _ := shard.Leading(); !leading {
			continue
		}
		summary := k.machines(id).Summary()
		open += summary.OpenJobs
		leased += summary.LeasedItems
		dropped += summary.DroppedResults
		for model, ofModel := range k.machines(id).Waiting(time.Now()) {
			if least, seen := slack[model]; !seen || ofModel.Slack < least {
				slack[model] = ofModel.Slack
			}
			waiting[model] += ofModel.Items
		}
	}
	metrics <- prometheus.MustNewConstMetric(openJobsMetric, prometheus.GaugeValue, float64(open))
	metrics <- prometheus.MustNewConstMetric(leasedItemsMetric, prometheus.GaugeValue, float64(leased))
	metrics <- prometheus.MustNewConstMetric(droppedResultsMetric, prometheus.CounterValue, float64(dropped))
	for model, items := range waiting {
		metrics <- prometheus.MustNewConstMetric(waitingItemsMetric, prometheus.GaugeValue, float64(items), model)
		metrics <- prometheus.MustNewConstMetric(minSlackMetric, prometheus.GaugeValue, slack[model].Seconds(), model)
	}
}
