package bench

import (
	"testing"

	"github.com/umberhill/umberhill/internal/outcome"
	"github.com/umberhill/umberhill/internal/standin/service"
)

func TestCheckOrders(t *testing.T) {
	type result struct{ ranMoreThanOnce, falseNotRun, falseDone, done, notRun, unknown, byRouter, byTarget, byClaim int }
	failed, claimed := outcome.CodeTargetFailed, outcome.CodeOutcomeUnknown
	tests := []struct {
		name     string
		results  []SendResult
		codes    []outcome.Code
		runCount int
		want     result
	}{
		{"done", []SendResult{ResultDone}, []outcome.Code{""}, 1, result{done: 1}},
		{"done after a lost response", []SendResult{ResultNoResponse, ResultDone}, []outcome.Code{"", ""}, 1, result{done: 1}},
		{"ran twice", []SendResult{ResultDone}, []outcome.Code{""}, 2, result{done: 1, ranMoreThanOnce: 1}},
		{"false done", []SendResult{ResultDone}, []outcome.Code{""}, 0, result{done: 1, falseDone: 1}},
		{"not run", []SendResult{ResultNotRun}, []outcome.Code{"x"}, 0, result{notRun: 1}},
		{"false not run", []SendResult{ResultNotRun, ResultNotRun}, []outcome.Code{"x", "x"}, 1, result{notRun: 1, falseNotRun: 1}},
		{"router sent no response", []SendResult{ResultNotRun, ResultNoResponse, ResultUnknown}, []outcome.Code{"x", "", claimed}, 1, result{unknown: 1, byRouter: 1}},
		{"target failed", []SendResult{ResultUnknown, ResultUnknown}, []outcome.Code{failed, claimed}, 1, result{unknown: 1, byTarget: 1}},
		{"unsettled claim", []SendResult{ResultNotRun, ResultUnknown}, []outcome.Code{"x", claimed}, 0, result{unknown: 1, byClaim: 1}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			o := &Order{Body: []byte(tc.name), Results: tc.results, Codes: tc.codes}
			var runs []service.Run
			for range tc.runCount {
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
