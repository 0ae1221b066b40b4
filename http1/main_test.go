package http1

import (
	"os"
	"testing"

	"github.com/chestnutstream/chestnutstream/citest"
)

func TestMain(m *testing.M) { os.Exit(citest.Run(m)) }
