package allowance

import (
	"os"
	"testing"

	"greengageferry/internal/testmain"
)

func TestMain(m *testing.M) {
	testmain.FixSeeds()
	os.Exit(m.Run())
}
