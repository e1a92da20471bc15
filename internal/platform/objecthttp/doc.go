// Package objecthttp implements platform.Store, platform.Leases and
// platform.Machines over HTTP and JSON in the Kubernetes API conventions, as
// docs/operating/stand-ins.md describes.
//
// It retries no call: after an error other than those of package platform, the call
// may have taken effect, and only the caller knows whether a retry is safe.
package objecthttp
