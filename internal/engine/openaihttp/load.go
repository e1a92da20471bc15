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

// Metrics and labels that a load report is read from.
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

// Load implements engine.Client. At is the time of receipt, because the report
// has no timestamp.
func (c *Client) Load(ctx context.Context) (engine.Load, error) {
	// Reports are polled frequently, and compression at least halves their size.
	response, err := c.control.R().SetContext(ctx).SetHeader("Accept-Encoding", "gzip").Get("/metrics")
	if err := c.checkControl("load", response, err); err != nil {
		return engine.Load{}, err
	}
	load, err := ParseLoad(response.Body())
	if err != nil {
		return engine.Load{}, c.newError("load", engine.FateUnknown, err)
	}
	load.At = time.Now()
	return load, nil
}

// ParseLoad parses a load report in the Prometheus text format. Missing metrics
// give zero values and unknown ones are ignored.
func ParseLoad(text []byte) (engine.Load, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(text))
	if err != nil {
		return engine.Load{}, err
	}
	var load engine.Load
	load.Running, load.RunningBatch = sumByClass(families[metricRunning])
	load.Waiting, load.WaitingBatch = sumByClass(families[metricWaiting])
	load.KVUse = gaugeValue(families[metricKVUse])
	load.StepTime = time.Duration(gaugeValue(families[metricStepSeconds]) * float64(time.Second))
	load.TokensPerStep = gaugeValue(families[metricStepTokens])
	load.Draining = gaugeValue(families[metricDraining]) != 0
	load.FencingToken = uint64(gaugeValue(families[metricFencingToken]))
	load.Models = nameLabels(families[metricModel])
	load.Adapters = nameLabels(families[metricAdapter])
	return load, nil
}

// sumByClass returns the sum over all classes and that of the batch class.
func sumByClass(family *dto.MetricFamily) (all, batch int) {
	for _, metric := range family.GetMetric() {
		count := int(metric.GetGauge().GetValue())
		all += count
		if labelValue(metric, labelClass) == classBatch {
			batch += count
		}
	}
	return all, batch
}

func gaugeValue(family *dto.MetricFamily) float64 {
	for _, metric := range family.GetMetric() {
		return metric.GetGauge().GetValue()
	}
	return 0
}

func nameLabels(family *dto.MetricFamily) []string {
	var listed []string
	for _, metric := range family.GetMetric() {
		listed = append(listed, labelValue(metric, labelName))
	}
	return listed
}

func labelValue(metric *dto.Metric, name string) string {
	for _, pair := range metric.GetLabel() {
		if pair.GetName() == name {
			return pair.GetValue()
		}
	}
	return ""
}
