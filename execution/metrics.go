package execution

import (
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bronzehook/jobs"
	"bronzehook/overdue"
	"bronzehook/startgate"
	"bronzehook/workers"
)

const namespace = "bronzehook"

// latencyBuckets are the histogram buckets for calls and waits, in seconds.
var latencyBuckets = []float64{.002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 30}

// Metrics holds the metrics of leadership terms.
type Metrics struct {
	terminations      *prometheus.CounterVec
	jobs              *prometheus.CounterVec
	placementFailures *prometheus.CounterVec
	commits           *prometheus.CounterVec
	commitDuration    prometheus.Histogram
	startWait         prometheus.Histogram
	jobAge            prometheus.Histogram
	takeoverDuration  prometheus.Histogram
	losses            *prometheus.CounterVec
	withheldStarts    *prometheus.CounterVec
	restarts          prometheus.Counter
	latePolls         prometheus.Counter
	inheritedDuration *prometheus.HistogramVec
	evacuation        evacuationMetrics
	overdueStarts     *prometheus.CounterVec
	backlog           backlogMetrics
	locality          localityMetrics
	interference      interferenceMetrics
	ackWait           prometheus.Gauge
}

// Outcomes of an inherited attempt: its worker lists it as running or reports its termination, or it is lost.
const (
	resolvedListed = "listed"
	resolvedEnded  = "ended"
	resolvedLost   = "lost"
)

// NewMetrics creates the metrics and registers them.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		terminations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "attempts_ended_total", Help: "Attempts that ended, by cause.",
		}, []string{"cause"}),
		jobs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "jobs_ended_total", Help: "Jobs that ended, by state.",
		}, []string{"state"}),
		placementFailures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "placements_failed_total", Help: "Tries to place a task that failed, by reason.",
		}, []string{"reason"}),
		commits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "duty_commits_total", Help: "Commits of the duty holder, by outcome.",
		}, []string{"outcome"}),
		commitDuration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "duty_commit_seconds", Help: "Duration of commits.", Buckets: latencyBuckets,
		}),
		startWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "task_wait_seconds", Help: "Time from a task's turn to its start.", Buckets: latencyBuckets,
		}),
		jobAge: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "job_age_seconds", Help: "Time from submission to the end of a job.",
			Buckets: latencyBuckets,
		}),
		takeoverDuration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "duty_takeover_seconds", Help: "Time from a claim of the duty until its rows are read.",
			Buckets: latencyBuckets,
		}),
		losses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "attempts_lost_total", Help: "Attempts that were lost, by reason.",
		}, []string{"reason"}),
		withheldStarts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "starts_withheld_total", Help: "Starts that were held back, rejected, or not sent, by reason.",
		}, []string{"verdict", "reason"}),
		restarts: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "workers_started_again_total", Help: "Workers that answered as another incarnation under their ID.",
		}),
		latePolls: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "polls_answered_late_total", Help: "Polls of workers whose overdue response still counted.",
		}),
		inheritedDuration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "inherited_attempt_seconds",
			Help:    "Time from a take-over until it was known what became of an inherited attempt, by outcome.",
			Buckets: latencyBuckets,
		}, []string{"outcome"}),
		overdueStarts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "overdue_starts_total", Help: "Starts whose response was overdue, by what was done.",
		}, []string{"action"}),
		ackWait: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "oldest_pending_ack_seconds",
			Help: "Age of the oldest termination that is not acknowledged because its effect is not stored yet.",
		}),
	}
	m.evacuation = newEvacuationMetrics(registry)
	m.backlog = newBacklogMetrics(registry)
	m.locality = newLocalityMetrics(registry)
	m.interference = newInterferenceMetrics(registry)
	registry.MustRegister(
		m.takeoverDuration, m.terminations, m.jobs, m.placementFailures, m.commits, m.commitDuration, m.startWait, m.jobAge,
		m.losses, m.withheldStarts, m.restarts, m.latePolls, m.inheritedDuration, m.overdueStarts, m.ackWait,
	)
	return m
}

// ended counts an attempt that has ended.
func (m *Metrics) ended(cause workers.Cause) { m.terminations.WithLabelValues(string(cause)).Inc() }

// jobEnded counts a job that has ended, at the given time since its submission.
func (m *Metrics) jobEnded(state jobs.State, age time.Duration) {
	m.jobs.WithLabelValues(string(state)).Inc()
	m.jobAge.Observe(age.Seconds())
}

// placementFailed counts a task that could not be placed.
func (m *Metrics) placementFailed(reason string) { m.placementFailures.WithLabelValues(reason).Inc() }

// committed counts a commit and observes its duration.
func (m *Metrics) committed(took time.Duration, err error) {
	outcome := "stored"
	if err != nil {
		outcome = "failed"
	}
	m.commits.WithLabelValues(outcome).Inc()
	m.commitDuration.Observe(took.Seconds())
}

// tookOver observes the time from the acquisition of leadership until the tables were read.
func (m *Metrics) tookOver(took time.Duration) { m.takeoverDuration.Observe(took.Seconds()) }

// started observes the time for which a started task has waited.
func (m *Metrics) started(waited time.Duration) { m.startWait.Observe(waited.Seconds()) }

// lost counts an attempt that was lost.
func (m *Metrics) lost(reason string) { m.losses.WithLabelValues(lossLabel(reason)).Inc() }

// Verdicts on starts that are withheld: held back until the knowledge is fresh, rejected before the command was sent, or not
// sent because of the last check before the write.
const (
	withheldHeld     = "held"
	withheldRejected = "rejected"
	withheldNotSent  = "not-sent"
)

// startWithheld counts a start that was withheld.
func (m *Metrics) startWithheld(verdict string, reason startgate.Reason) {
	m.withheldStarts.WithLabelValues(verdict, string(reason)).Inc()
}

// lossLabel returns the label value of the reason for which an attempt was lost.
func lossLabel(reason string) string {
	switch {
	case reason == lostNotListed:
		return "not-listed"
	case reason == lostRestarted:
		return "restarted"
	case reason == lostLeaseExpired:
		return "lease-expired"
	case reason == lostNotSent:
		return "not-sent"
	case reason == lostOverdue:
		return "start-overdue"
	case strings.HasPrefix(reason, lostRefused):
		return "refused"
	}
	return "other"
}

// startOverdue counts a start whose response was overdue.
func (m *Metrics) startOverdue(action overdue.Action) {
	m.overdueStarts.WithLabelValues(action.String()).Inc()
}

// startedAgain counts a worker that another incarnation answers for.
func (m *Metrics) startedAgain() { m.restarts.Inc() }

// answeredLate counts a poll whose overdue response counted.
func (m *Metrics) answeredLate() { m.latePolls.Inc() }

// inheritedResolved observes the time from the start of a term until it was known what became of an inherited attempt.
func (m *Metrics) inheritedResolved(outcome string, unresolved time.Duration) {
	m.inheritedDuration.WithLabelValues(outcome).Observe(unresolved.Seconds())
}
