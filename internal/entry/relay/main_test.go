package relay_test

import (
	"os"
	"testing"

	"github.com/jaygw/jaygw/internal/test/seeder"
)

func TestMain(m *testing.M) {
	seeder.FixSeed(200)
	os.Exit(m.Run())
}
