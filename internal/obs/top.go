package obs

import "sync"

// Other is the label value of everything outside the top.
const Other = "other"

const (
	// candidatesPerLabel bounds the names counted for each label given.
	candidatesPerLabel = 8
	// labelsEver bounds the labels ever given, in multiples of the top's size.
	labelsEver = 4
	// replaceFactor is by how much a newcomer must exceed the least of the top.
	replaceFactor = 2
)

// Top bounds the cardinality of a label: the n heaviest names are labelled by
// themselves, and the rest is Other. Over the life of a process at most
// labelsEver times n names are ever labelled, as a registry keeps each series.
type Top struct {
	n int

	mu      sync.Mutex
	amounts map[string]float64
	top     map[string]bool
	ever    map[string]bool
}

// NewTop returns a Top of n names.
func NewTop(n int) *Top {
	return &Top{
		n:       n,
		amounts: make(map[string]float64),
		top:     make(map[string]bool),
		ever:    make(map[string]bool),
	}
}

// Label adds an amount to a name and returns its label value.
func (t *Top) Label(name string, amount float64) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(name, amount)
	if t.top[name] || t.promote(name) {
		return name
	}
	return Other
}

// add counts in bounded memory: a new name takes the place of the least and
// its amount (the "space saving" sketch).
func (t *Top) add(name string, amount float64) {
	if _, known := t.amounts[name]; known || len(t.amounts) < t.n*candidatesPerLabel {
		t.amounts[name] += amount
		return
	}
	least := t.least(func(candidate string) bool { return !t.top[candidate] })
	amount += t.amounts[least]
	delete(t.amounts, least)
	t.amounts[name] = amount
}

func (t *Top) promote(name string) bool {
	if !t.ever[name] && len(t.ever) >= t.n*labelsEver {
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
	t.ever[name] = true
	return true
}

func (t *Top) least(among func(string) bool) string {
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
