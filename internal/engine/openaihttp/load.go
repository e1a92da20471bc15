package openaihttp

import (
	"bytes"
	"context"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"chutelock.dev/chutelock/internal/engine"
)

// Names of the metrics that make up a load report.
const (
	metricRunning      = "engine_requests_running"
	metricWaiting      = "engine_requests_waiting"
	metricKVUse        = "engine_kv_use_ratio"
	metricStepSeconds  = "engine_step_seconds"
	metricStepTokens   = "engine_step_tokens"
	metricDraining     = "engine_draining"
	metricModel        = "engine_model_loaded"
	metricAdapter      = "engine_adapter_loaded"
	metricFencingToken = "engine_fencing_token"
	labelClass         = "class"
	classBatch         = "batch"
	labelName          = "name"
)

// Load implements engine.Client. At is the time of receipt: the report itself
// doesn't tell how much it lags.
func (c *Client) Load(ctx context.Context) (engine.Load, error) {
	// A compressed report is less than half as long, and a home reads one a
	// second from each of its engines.
	response, err := c.control.R().SetContext(ctx).SetHeader("Accept-Encoding", "gzip").Get("/metrics")
	if err := c.checkControl("load", response, err); err != nil {
		return engine.Load{}, err
	}
	load, err := ParseLoad(response.Body())
	if err != nil {
		return engine.Load{}, c.fail("load", engine.FateUnknown, err)
	}
	load.At = time.Now()
	return load, nil
}

// ParseLoad reads a load report in Prometheus' text format. Metrics that are
// missing or unknown are left out.
func ParseLoad(text []byte) (engine.Load, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(text))
	if err != nil {
		return engine.Load{}, err
	}
	var load engine.Load
	load.Running, load.RunningBatch = countClasses(families[metricRunning])
	load.Waiting, load.WaitingBatch = countClasses(families[metricWaiting])
	load.KVUse = value(families[metricKVUse])
	load.StepTime = time.Duration(value(families[metricStepSeconds]) * float64(time.Second))
	load.TokensPerStep = value(families[metricStepTokens])
	load.Draining = value(families[metricDraining]) != 0
	load.FencingToken = uint64(value(families[metricFencingToken]))
	load.Models = names(families[metricModel])
	load.Adapters = names(families[metricAdapter])
	return load, nil
}

// countClasses sums over all classes and tells the part of batch.
func countClasses(family *dto.MetricFamily) (all, batch int) {
	for _, metric := range family.GetMetric() {
		count := int(metric.GetGauge().GetValue())
		all += count
		if label(metric, labelClass) == classBatch {
			batch += count
		}
	}
	return all, batch
}

func value(family *dto.MetricFamily) float64 {
	for _, metric := range family.GetMetric() {
		return metric.GetGauge().GetValue()
	}
	return 0
}

func names(family *dto.MetricFamily) []string {
	var listed []string
	for _, metric := range family.GetMetric() {
		listed = append(listed, label(metric, labelName))
	}
	return listed
}

func label(metric *dto.Metric, name string) string {
	for _, pair := range metric.GetLabel() {
		if pair.GetName() == name {
			return pair.GetValue()
		}
	}
	return ""
}
