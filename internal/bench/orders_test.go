package bench

import (
	"testing"

	"github.com/umberhill/umberhill/internal/outcome"
	"github.com/umberhill/umberhill/internal/standin/service"
)

func TestJudgeOrders(t *testing.T) {
	type result struct{ doubled, falseNotRun, falseDone, done, notRun, unknown, byRouter, byTarget, byClaim int }
	failed, claimed := outcome.CodeTargetFailed, outcome.CodeOutcomeUnknown
	tests := []struct {
		name  string
		said  []SendResult
		codes []outcome.Code
		ran   int
		want  result
	}{
		{"done", []SendResult{ResultDone}, []outcome.Code{""}, 1, result{done: 1}},
		{"done after all", []SendResult{ResultNoResponse, ResultDone}, []outcome.Code{"", ""}, 1, result{done: 1}},
		{"doubled", []SendResult{ResultDone}, []outcome.Code{""}, 2, result{done: 1, doubled: 1}},
		{"false done", []SendResult{ResultDone}, []outcome.Code{""}, 0, result{done: 1, falseDone: 1}},
		{"not run", []SendResult{ResultNotRun}, []outcome.Code{"x"}, 0, result{notRun: 1}},
		{"false not run", []SendResult{ResultNotRun, ResultNotRun}, []outcome.Code{"x", "x"}, 1, result{notRun: 1, falseNotRun: 1}},
		{"the router died", []SendResult{ResultNotRun, ResultNoResponse, ResultUnknown}, []outcome.Code{"x", "", claimed}, 1, result{unknown: 1, byRouter: 1}},
		{"the target died", []SendResult{ResultUnknown, ResultUnknown}, []outcome.Code{failed, claimed}, 1, result{unknown: 1, byTarget: 1}},
		{"a claim was left", []SendResult{ResultNotRun, ResultUnknown}, []outcome.Code{"x", claimed}, 0, result{unknown: 1, byClaim: 1}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			o := &Order{Body: []byte(tc.name), Results: tc.said, Codes: tc.codes}
			var runs []service.Run
			for range tc.ran {
				runs = append(runs, service.Run{BodyHash: service.BodyHash(o.Body)})
			}
			r := CheckOrders([]*Order{o}, runs)
			got := result{r.RanMoreThanOnce, r.FalseNotRun, r.FalseDone, r.Done, r.NotRun, r.Unknown, r.UnknownByRouter, r.UnknownByTarget, r.UnknownByClaim}
			if got != tc.want {
				t.Errorf("got %+v, want %+v", got, tc.want)
			}
		})
	}
}
