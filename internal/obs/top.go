package obs

import "sync"

// Other is the label value of all names outside the top.
const Other = "other"

const (
	// candidatesPerTopName bounds the names whose amounts are tracked, in multiples of
	// the top's size.
	candidatesPerTopName = 8
	// maxLabelledFactor bounds the names that are ever labelled, in multiples of the
	// top's size.
	maxLabelledFactor = 4
	// replaceFactor is the multiple of the smallest amount in the top that a name
	// needs to replace the name with that amount.
	replaceFactor = 2
)

// TopLabels bounds the cardinality of a label: each of the n names with the largest
// amounts is its own label value, and all others share Other. Over the life of a
// process at most maxLabelledFactor times n names are labelled, because a registry
// never removes a series. It is safe for concurrent use.
type TopLabels struct {
	n int

	mu       sync.Mutex
	amounts  map[string]float64
	top      map[string]bool
	labelled map[string]bool
}

// NewTopLabels returns a TopLabels with a top of n names.
func NewTopLabels(n int) *TopLabels {
	return &TopLabels{
		n:        n,
		amounts:  make(map[string]float64),
		top:      make(map[string]bool),
		labelled: make(map[string]bool),
	}
}

// Label adds an amount to a name and returns its label value.
func (t *TopLabels) Label(name string, amount float64) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(name, amount)
	if t.top[name] || t.promote(name) {
		return name
	}
	return Other
}

// add counts in bounded memory by the "space saving" algorithm: if the counters
// are full, a new name replaces the one with the smallest amount outside the top
// and starts from that amount.
func (t *TopLabels) add(name string, amount float64) {
	if _, known := t.amounts[name]; known || len(t.amounts) < t.n*candidatesPerTopName {
		t.amounts[name] += amount
		return
	}
	least := t.least(func(candidate string) bool { return !t.top[candidate] })
	amount += t.amounts[least]
	delete(t.amounts, least)
	t.amounts[name] = amount
}

func (t *TopLabels) promote(name string) bool {
	if !t.labelled[name] && len(t.labelled) >= t.n*maxLabelledFactor {
		return false
	}
	if len(t.top) >= t.n {
		least := t.least(func(candidate string) bool { return t.top[candidate] })
		if t.amounts[name] < replaceFactor*t.amounts[least] {
			return false
		}
		delete(t.top, least)
	}
	t.top[name] = true
	t.labelled[name] = true
	return true
}

func (t *TopLabels) least(among func(string) bool) string {
	var least string
	first := true
	for name, amount := range t.amounts {
		if !among(name) {
			continue
		}
		if first || amount < t.amounts[least] || amount == t.amounts[least] && name < least {
			least, first = name, false
		}
	}
	return least
}
