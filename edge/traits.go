package edge

import (
	"strconv"

	"github.com/chestnutstream/chestnutstream"
)

// Prefixes of the traits by which requests and loads that crash servers are known.
const (
	traitPart    = "part:"    // of a prompt
	traitAdapter = "adapter:" // version that generates the response
	traitLoad    = "load:"    // of an adapter version, or of a model
)

// requestTraits returns the traits of a request that a server responds to.
func requestTraits(target chestnutstream.ModelAdapter, version int, partIDs []string) []string {
	var traits []string
	for _, id := range partIDs {
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
