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

// Target holds the addresses of a deployment that runs in other processes. Its
// platform, engines and services are stand-ins, whose counters are read.
type Target struct {
	Platform string
	Entries  []string
	Engines  []string
	Services []string
}

// errTargetFaults is returned for a plan with faults on a deployment that this
// process did not start.
var errTargetFaults = errors.New("faults require a deployment started by this tool; set the faults of a remote stand-in by PUT /faults")

// RunRemote runs the plan on a deployment that runs in other processes. It does
// not change the configuration document and supports no faults.
func RunRemote(ctx context.Context, plan Plan, t Target) (*Report, error) {
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
		d.Entries = append(d.Entries, &Entry{Name: a, remoteAddress: a})
	}
	for _, a := range t.Engines {
		d.Engines = append(d.Engines, &Server{Name: a, remoteAddress: a})
	}
	for _, a := range t.Services {
		d.Services = append(d.Services, &Server{Name: a, remoteAddress: a})
	}
	return RunOn(ctx, d, plan)
}

// address returns the address for callers of the instance.
func (e *Entry) address() string {
	if e.Instance == nil {
		return e.remoteAddress
	}
	return e.Instance.CallerAddress
}

func (s *Server) engineCounts() (standin.EngineCounts, error) {
	if s.Engine != nil {
		return s.Engine.Counts(), nil
	}
	return fetchCounts[standin.EngineCounts](s.remoteAddress)
}

func (s *Server) serviceCounts() (standin.ServiceCounts, error) {
	if s.Service != nil {
		return s.Service.Counts(), nil
	}
	return fetchCounts[standin.ServiceCounts](s.remoteAddress)
}

func (d *Deployment) platformCounts() (standin.PlatformCounts, error) {
	if d.Platform != nil {
		return d.Platform.Counts(), nil
	}
	return fetchCounts[standin.PlatformCounts](d.remotePlatform)
}

// fetchCounts reads the counters of the stand-in at address.
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
