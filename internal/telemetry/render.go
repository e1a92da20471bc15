package telemetry

import (
	"fmt"
	"io"
)

// catalogueHeader is the head of the page that lists the events.
const catalogueHeader = `# Events

Every log line of the programs is a numbered event; numbers are never reused.
This page is made from the code by ` + "`make events`" + `.

| number | event | meaning |
|---|---|---|
`

// WriteCatalogue writes a Markdown page that lists all defined events.
func WriteCatalogue(to io.Writer) error {
	if _, err := io.WriteString(to, catalogueHeader); err != nil {
		return err
	}
	for _, event := range Catalogue() {
		if _, err := fmt.Fprintf(to, "| %d | %s | %s |\n", event.Number, event.Name, event.Meaning); err != nil {
			return err
		}
	}
	return nil
}
