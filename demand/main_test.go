package demand

import (
	"testing"

	"greengageferry/internal/testmain"
)

func TestMain(m *testing.M) { testmain.Run(m) }
