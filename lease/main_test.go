package lease

import (
	"os"
	"testing"

	"github.com/chestnutstream/chestnutstream/testseed"
)

func TestMain(m *testing.M) { os.Exit(testseed.Run(m)) }
