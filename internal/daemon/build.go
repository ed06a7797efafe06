package daemon

import (
	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/burn"
	"github.com/umberhill/umberhill/internal/configsync"
	"github.com/umberhill/umberhill/internal/core/sched"
	"github.com/umberhill/umberhill/internal/dispatch"
	"github.com/umberhill/umberhill/internal/filter/account"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/ledger"
	"github.com/umberhill/umberhill/internal/loadpoll"
	"github.com/umberhill/umberhill/internal/outcome"
	"github.com/umberhill/umberhill/internal/peer"
	"github.com/umberhill/umberhill/internal/platform"
	"github.com/umberhill/umberhill/internal/quarantine"
	"github.com/umberhill/umberhill/internal/relay"
)

// build creates the controllers in the order of their dependencies.
func (d *Daemon) build() error {
	d.platform = platform.New(platform.Options{
		URL:     d.settings.Platform.URL,
		Token:   d.settings.Platform.Token,
		Timeout: milliseconds(d.settings.Platform.TimeoutMS),
		Scope:   d.scope,
		Logger:  d.logger,
	})
	if err := d.openTLS(); err != nil {
		return err
	}
	d.buildMesh()
	d.buildScheduler()
	d.buildRequestPath()
	d.buildConfig()
	return nil
}

func (d *Daemon) buildMesh() {
	p := d.settings.Peer
	d.mesh = peer.New(peer.Options{
		Fleet:             d.settings.Fleet,
		Self:              ids.Instance(d.settings.Instance),
		Incarnation:       d.incarnation,
		Domain:            ids.Domain(d.settings.Domain),
		Listener:          d.listeners.peer,
		Advertise:         p.Advertise,
		TLS:               d.tls.peer,
		HeartbeatInterval: milliseconds(p.HeartbeatMS),
		Timeout:           milliseconds(p.TimeoutMS),
		Handler:           d,
		NewHeartbeat:      d.newHeartbeat,
		Logger:            d.logger,
		Scope:             d.scope,
	})
	d.mesh.SetPeers(p.Seeds)
}

func (d *Daemon) buildScheduler() {
	f := d.settings.Fairness
	machine := sched.New(sched.Settings{
		Self:           ids.Instance(d.settings.Instance),
		Incarnation:    d.incarnation,
		Domain:         ids.Domain(d.settings.Domain),
		ReportInterval: milliseconds(f.ReportMS),
		Tolerance:      f.Tolerance,
		Seed:           uint64(d.incarnation),
		Mode:           sched.Mode(f.Mode),
	})
	d.dispatcher = dispatch.New(machine, d.sendSched, d.scope)
	d.poller = loadpoll.New(loadpoll.Options{
		Interval:     milliseconds(d.settings.Targets.LoadMS),
		Directory:    d.directory,
		OwnedTargets: d.ownedTargets,
		Report:       func(l sched.Load) { d.dispatcher.TryEnqueue(l) },
		Scope:        d.scope,
	})
}

func (d *Daemon) buildRequestPath() {
	d.ledger = ledger.New(ledger.Options{
		Store:            d.platform,
		Instance:         ids.Instance(d.settings.Instance),
		Incarnation:      d.incarnation,
		Buckets:          d.settings.Ledger.Buckets,
		Window:           seconds(d.settings.Ledger.WindowSeconds),
		MaxResponseBytes: d.settings.Ledger.MaxAnswerBytes,
		LiveIncarnation:  d.liveIncarnation,
		RouterCount:      func() int { return 1 + len(d.mesh.Live()) },
		Logger:           d.logger,
		Scope:            d.scope,
	})
	d.quarantine = quarantine.New(quarantine.Options{
		Self:        ids.Instance(d.settings.Instance),
		Incarnation: d.incarnation,
		Broadcast:   d.broadcastQuarantine,
		Send:        d.sendQuarantine,
		IsIsolated:  d.isIsolated,
		Duration:    seconds(d.settings.Quarantine.Seconds),
		Logger:      d.logger,
		Scope:       d.scope,
	})
	d.crashRecord = quarantine.NewRecorder(quarantine.RecorderOptions{
		Controller: d.quarantine,
		Store:      d.platform,
		Kind:       api.KindQuarantine,
		WriterRank: d.recordWriterRank,
		Logger:     d.logger,
		Scope:      d.scope,
	})
	d.relay = relay.New(relay.Options{
		DialTimeout:         milliseconds(d.settings.Targets.DialMS),
		EngineStallTimeout:  milliseconds(d.settings.Targets.StallMS),
		ServiceStallTimeout: milliseconds(d.settings.Targets.ServiceStallMS),
		IdleTimeout:         seconds(d.settings.Targets.IdleSeconds),
		Scope:               d.scope,
	})
	d.burn = burn.New(burn.Options{
		Instance:   ids.Instance(d.settings.Instance),
		Objectives: d.objectives,
	})
	d.account = account.New(d.recentRequests, d.recordResult, d.scope)
}

func (d *Daemon) buildConfig() {
	d.config = configsync.New(configsync.Options{
		Self:      ids.Instance(d.settings.Instance),
		Domain:    ids.Domain(d.settings.Domain),
		Platform:  d.platform,
		Watchers:  d.settings.Platform.Watchers,
		Send:      d.sendConfig,
		LivePeers: d.members,
		OnChange:  func(*configsync.Snapshot) { d.applier.notify() },
		Logger:    d.logger,
		Scope:     d.scope,
	})
}

// members returns the live peers in the form that the configuration controller
// uses.
func (d *Daemon) members() []configsync.Member {
	live := d.mesh.Live()
	list := make([]configsync.Member, 0, len(live))
	for _, p := range live {
		list = append(list, configsync.Member{
			Instance: p.Instance,
			Domain:   p.Domain,
			Draining: p.Draining,
			Watcher:  p.Watcher,
		})
	}
	return list
}

// recordResult adds the result of a request to the burn recorder.
func (d *Daemon) recordResult(result account.Result) {
	d.burn.Record(burn.Observation{
		Workspace:  result.Workspace,
		OK:         result.OK,
		Fault:      faultOf(result),
		QueueTime:  result.QueueTime,
		FirstToken: result.TimeToFirstByte,
		At:         result.At,
	})
}

// objectives returns the objectives of a workspace in the configuration in
// force, nil if it has none.
func (d *Daemon) objectives(ws ids.Workspace) *api.Objectives {
	contract := d.inForce().Contracts[ws]
	if contract == nil {
		return nil
	}
	return contract.Objectives
}

// faultOf maps the code of a result to the fault class of the burn report.
func faultOf(result account.Result) burn.Fault {
	if result.OK {
		return burn.FaultNone
	}
	switch result.Code {
	case outcome.CodeTargetFailed, outcome.CodeTargetRejected, outcome.CodeNoTarget, outcome.CodeOutcomeUnknown:
		return burn.FaultTarget
	case outcome.CodeDeadline:
		return burn.FaultDeadline
	case outcome.CodeQueueFull, outcome.CodeTooManyHeld:
		return burn.FaultQueue
	case outcome.CodeRateLimited, outcome.CodeConcurrency, outcome.CodeAllowance:
		return burn.FaultLimit
	case outcome.CodeQuarantined:
		return burn.FaultQuarantine
	case outcome.CodeLedger:
		return burn.FaultPlatform
	case outcome.CodeCanceled, outcome.CodeBadRequest, outcome.CodeBodyTooLarge, outcome.CodeUnknownModel,
		outcome.CodeUnknownService, outcome.CodeKeyReused, outcome.CodeInProgress:
		return burn.FaultCaller
	default:
		return burn.FaultRouter
	}
}
