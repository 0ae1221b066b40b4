package instance

// Evidence against parts of prompts, as in frames.

type wireTraitEvidence struct {
	_             struct{} `cbor:",toarray"`
	Service       string
	ID            string
	SurvivedAgeMS int64
	ProbedAgeMS   int64
	Probes        int
	Crashes       []wireTraitCrash
}

type wireTraitCrash struct {
	_          struct{} `cbor:",toarray"`
	Server     string
	Born       int64
	AgeMS      int64
	Weight     float64
	Companions []string
}

func encodeEvidence(evidence []TraitEvidence) []wireTraitEvidence {
	var out []wireTraitEvidence
	for _, e := range evidence {
		x := wireTraitEvidence{Service: e.Service, ID: e.ID, SurvivedAgeMS: e.SurvivedAgeMS, ProbedAgeMS: e.ProbedAgeMS, Probes: e.Probes}
		for _, c := range e.Crashes {
			x.Crashes = append(x.Crashes, wireTraitCrash{Server: c.Server, Born: c.Born, AgeMS: c.AgeMS, Weight: c.Weight, Companions: c.Companions})
		}
		out = append(out, x)
	}
	return out
}

func decodeEvidence(evidence []wireTraitEvidence) []TraitEvidence {
	var out []TraitEvidence
	for _, x := range evidence {
		e := TraitEvidence{Service: x.Service, ID: x.ID, SurvivedAgeMS: x.SurvivedAgeMS, ProbedAgeMS: x.ProbedAgeMS, Probes: x.Probes}
		for _, c := range x.Crashes {
			e.Crashes = append(e.Crashes, TraitCrash{Server: c.Server, Born: c.Born, AgeMS: c.AgeMS, Weight: c.Weight, Companions: c.Companions})
		}
		out = append(out, e)
	}
	return out
}
