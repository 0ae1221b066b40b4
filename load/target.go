package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream/standin"
)

// Target is a deployment that runs elsewhere: addresses of its parts. The
// platform, engines and services are stand-ins, whose counts are read.
type Target struct {
	Platform string
	Entries  []string
	Engines  []string
	Services []string
}

// errTargetFaults is returned for faults against a deployment that this process
// did not start.
var errTargetFaults = errors.New("faults need a deployment of the tool's own; switch a stand-in's by PUT /faults")

// RunAgainst runs the plan against a deployment that runs elsewhere. The
// configuration document is left alone.
func RunAgainst(ctx context.Context, plan Plan, t Target) (*Report, error) {
	spec, err := FindSpec(plan.Deployment)
	if err != nil {
		return nil, err
	}
	if plan.Faults != "" {
		return nil, errTargetFaults
	}
	if len(t.Entries) == 0 {
		return nil, errors.New("target: want at least one entry instance")
	}
	d := &Deployment{Spec: spec, Network: NewNetwork(), remotePlatform: t.Platform}
	for _, a := range t.Entries {
		d.Entries = append(d.Entries, &Entry{Name: a, remote: a})
	}
	for _, a := range t.Engines {
		d.Engines = append(d.Engines, &Server{Name: a, remote: a})
	}
	for _, a := range t.Services {
		d.Services = append(d.Services, &Server{Name: a, remote: a})
	}
	return RunOn(ctx, d, plan)
}

// address returns where callers reach the instance.
func (e *Entry) address() string {
	if e.Instance == nil {
		return e.remote
	}
	return e.Instance.CallerAddress
}

func (s *Server) engineCounts() (standin.EngineCounts, error) {
	if s.Engine != nil {
		return s.Engine.Counts(), nil
	}
	return fetchCounts[standin.EngineCounts](s.remote)
}

func (s *Server) serviceCounts() (standin.ServiceCounts, error) {
	if s.Service != nil {
		return s.Service.Counts(), nil
	}
	return fetchCounts[standin.ServiceCounts](s.remote)
}

func (d *Deployment) platformCounts() (standin.PlatformCounts, error) {
	if d.Platform != nil {
		return d.Platform.Counts(), nil
	}
	return fetchCounts[standin.PlatformCounts](d.remotePlatform)
}

func fetchCounts[T any](address string) (T, error) {
	var counts T
	client := &http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + address + "/counts")
	if err != nil {
		return counts, fmt.Errorf("read counts: %w", err)
	}
	defer resp.Body.Close()
	if err := decodeJSON(resp.Body, &counts); err != nil {
		return counts, fmt.Errorf("read counts of %s: %w", address, err)
	}
	return counts, nil
}

func decodeJSON(r io.Reader, v any) error {
	if err := json.NewDecoder(r).Decode(v); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return nil
}
