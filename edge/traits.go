package edge

import (
	"strconv"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/ingress"
	"github.com/chestnutstream/chestnutstream/quarantine"
)

// Prefixes of the traits by which requests and loads that crash servers are known. A request
// has one of its own besides: quarantine.RequestPrefix with its hash.
const (
	traitPart    = "part:"    // of a prompt
	traitAdapter = "adapter:" // version that generates the response
	traitLoad    = "load:"    // of an adapter version, or of a model
)

// requestTraits returns the traits of a request that a server responds to.
func requestTraits(target chestnutstream.ModelAdapter, version int, f ingress.Fingerprint) []string {
	var traits []string
	if f.Hash != "" {
		traits = append(traits, quarantine.RequestPrefix+f.Hash)
	}
	for _, id := range f.PartIDs {
		traits = append(traits, traitPart+id)
	}
	if target.Adapter != "" {
		traits = append(traits, traitAdapter+versionName(target, version))
	}
	return traits
}

// loadTrait returns the trait of a load.
func loadTrait(target chestnutstream.ModelAdapter, version int) string {
	return traitLoad + versionName(target, version)
}

// versionName returns MODEL/ADAPTER@VERSION, or MODEL for a base model.
func versionName(target chestnutstream.ModelAdapter, version int) string {
	if target.Adapter == "" {
		return target.Model
	}
	return target.String() + "@" + strconv.Itoa(version)
}
