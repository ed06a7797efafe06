package fairfuzz_test

import (
	"flag"
	"os"
	"strconv"
	"testing"
	"time"
)

// fuzzSeconds is how long TestFuzz continues with new seeds, in seconds.
var fuzzSeconds = flag.Int("fairfuzz.seconds", 0, "seconds to fuzz for; 0 for the fixed seed once")

// fixedSeed is used unless -rapid.seed says otherwise.
const fixedSeed = 1

func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	if !set["rapid.seed"] {
		setFlag("rapid.seed", strconv.Itoa(fixedSeed))
	}
	setFlag("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// runSeeds calls f with the rapid seed that is set, then with one seed after another
// until fuzzSeconds have passed.
func runSeeds(t *testing.T, f func(*testing.T)) {
	f(t)
	seed, err := strconv.Atoi(flag.Lookup("rapid.seed").Value.String())
	if err != nil {
		t.Fatal(err)
	}
	end := time.Now().Add(time.Duration(*fuzzSeconds) * time.Second)
	for time.Now().Before(end) && !t.Failed() {
		seed++
		setFlag("rapid.seed", strconv.Itoa(seed))
		t.Logf("seed %d", seed)
		f(t)
	}
}
