package e2e

import (
	"context"
	"errors"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"

	"chutelock.dev/chutelock/internal/standin/truth"
)

var _ = ginkgo.Describe("The public API", func() {
	ginkgo.It("serves the published client online and in batch at every node", func() {
		d := newDeployment(deploymentConfig{nodes: 3, enginesPerZone: 1, nodeSettings: "ledger: {copies: 3}\n"})
		ctx := context.Background()
		for _, n := range d.nodes {
			c := client(n, onlineKey)
			ginkgo.By("plain completions")
			plain, err := c.Completions.New(ctx, openai.CompletionNewParams{
				Model: model, MaxTokens: openai.Int(20),
				Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("draft a reply")}})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(plain.Choices[0].Text).To(gomega.Equal(truth.ExpectedText(model, "draft a reply", 20)))
			ginkgo.By("streamed chat completions")
			stream := c.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
				Model: model, MaxTokens: openai.Int(20),
				Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("draft a reply")}})
			var text strings.Builder
			for stream.Next() {
				for _, choice := range stream.Current().Choices {
					text.WriteString(choice.Delta.Content)
				}
			}
			gomega.Expect(stream.Err()).NotTo(gomega.HaveOccurred())
			gomega.Expect(text.String()).NotTo(gomega.BeEmpty())
			ginkgo.By("models")
			models, err := c.Models.List(ctx)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(models.Data).To(gomega.ContainElement(gomega.HaveField("ID", model)))
		}

		ginkgo.By("a batch job and its resubmissions")
		const items = 300
		accepted := submitJob(d.nodes[0], items, "roll-1")
		again := submitJob(d.nodes[1], items, "roll-1")
		gomega.Expect(again.ID).To(gomega.Equal(accepted.ID), "id for the same key and content at another node")
		expectCompleteJob(d, accepted.ID, items)
		other := uploadInput(d.nodes[2], jobInput(items+1, nil))
		_, err := createJob(d.nodes[2], other, "roll-1")
		var refused *openai.Error
		gomega.Expect(errors.As(err, &refused)).To(gomega.BeTrue(), "%v", err)
		gomega.Expect(refused.StatusCode).To(gomega.Equal(409))
	})
})
