// Package ctl is the operators' command line: its verbs, the client of the operator interface and the output.
package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/jonboulle/clockwork"

	"bronzehook/fault"
)

// App runs one command line.
type App struct {
	Out io.Writer
	Err io.Writer
	// Terminal tells that Err is a terminal; progress is shown only then.
	Terminal bool
	Clock    clockwork.Clock
	// HTTP is the client for requests to instances; nil means a client of its own.
	HTTP *http.Client
	// Measurer supplies the table of the verb measure; nil means that this build has none.
	Measurer Measurer
	// DefaultAuthor is the author of changes where no option names one.
	DefaultAuthor string

	global globalOptions
	ctx    context.Context
	client *client
}

// Measurer replays the recorded traces of a site and returns their measures. An empty site means all sites.
type Measurer interface {
	Measure(ctx context.Context, site string, seed uint64) (MeasureTable, error)
}

// MeasureTable is a table of measures.
type MeasureTable struct {
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

const (
	outputText = "text"
	outputJSON = "json"
)

type globalOptions struct {
	URLs    []string      `long:"operator-url" env:"BRONZEHOOK_OPERATOR_URL" env-delim:"," default:"http://127.0.0.1:8081" description:"base URL of an instance for operators; may be given several times, or separated by commas in the variable: the next one is tried if one cannot be reached"`
	Token   string        `long:"operator-token" env:"BRONZEHOOK_OPERATOR_TOKEN" description:"bearer token for the instances"`
	CA      string        `long:"operator-ca" env:"BRONZEHOOK_OPERATOR_CA" description:"PEM file with the authorities of the instances' certificates; empty means those of the machine"`
	Author  string        `long:"author" env:"BRONZEHOOK_OPERATOR_AUTHOR" description:"name of the operator, kept with each change; the name of the account by default"`
	Output  string        `long:"output" env:"BRONZEHOOK_OUTPUT" default:"text" choice:"text" choice:"json" description:"text for people, json for programs"`
	Timeout time.Duration `long:"timeout" env:"BRONZEHOOK_OPERATOR_TIMEOUT" default:"20s" description:"longest wait for the answer to one request"`
}

// exitHelp is the part of the help that states the exit codes of package fault.
var exitHelp = fmt.Sprintf(`Exit codes: %d success, %d failure, %d invalid arguments or files, %d conflict with another operator, %d not found, %d an instance or the platform's table is unavailable, %d time-out.`,
	fault.ExitOK, fault.ExitFailure, fault.ExitUsage, fault.ExitConflict, fault.ExitNotFound, fault.ExitUnavailable, fault.ExitTimeout)

// verb is one command of the command line.
type verb struct {
	name    string
	short   string
	long    string
	example string
	command any
}

func (a *App) verbs() []verb {
	return []verb{
		{"validate", "Check the files of a folder", "Checks all files of DIR as one folder. Nothing is recorded.", "validate work", &validateCommand{app: a}},
		{"diff", "Show what apply would change", "Compares DIR with the recorded files and lists what differs by work.", "diff work --prune", &diffCommand{app: a}},
		{"apply", "Record the files of a folder", applyLong, "apply work --wait", &applyCommand{app: a}},
		{"get", "List or fetch recorded files", "Lists the recorded files, prints the named ones, or writes them into a folder.", "get --into work", &getCommand{app: a}},
		{"remove", "Remove recorded files", "Removes the named files from the record.", "remove 20-index.yaml", &removeCommand{app: a}},
		{"status", "Show the state of the fleet", "Shows instances, workers, ownership, floods, drains and the health of the platform's table.", "status", &statusCommand{app: a}},
		{"explain", "Tell why work waits", "Tells why a piece of work waits, where it was refused and when it is expected to start.", "explain nightly-index", &explainCommand{app: a}},
		{"drain", "Keep new tasks off a worker", "Keeps new tasks off a worker until the time is over.", "drain worker-17 --for 2h --reason \"disk check\"", &drainCommand{app: a}},
		{"undrain", "End the drain of a worker", "Lets a worker get new tasks again.", "undrain worker-17", &undrainCommand{app: a}},
		{"audit", "List the audit trail", "Lists who changed what, oldest first.", "audit --since 24h", &auditCommand{app: a}},
		{"logs", "Tell from logs what happened to a job or task", logsLong, "logs a2bee8be2b2114f5 front-*.log", &logsCommand{app: a}},
		{"measure", "Print the measures of the recorded traces", "Replays the recorded traces, of both sites unless one is named, and prints the four measures of the decision beside the baseline's.", "measure --site tentpole", &measureCommand{app: a}},
	}
}

// Run runs the command line and returns its exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	a.ctx = ctx
	if a.Clock == nil {
		a.Clock = clockwork.NewRealClock()
	}
	parser, err := a.parser()
	if err != nil {
		return a.fail(err)
	}
	_, err = parser.ParseArgs(args)
	var failure *flags.Error
	switch {
	case err == nil:
		return fault.ExitOK
	case errors.As(err, &failure) && failure.Type == flags.ErrHelp:
		fmt.Fprintln(a.Out, strings.TrimRight(failure.Message, "\n"))
		return fault.ExitOK
	case errors.As(err, &failure):
		return a.fail(fault.New(fault.CodeInvalid, "read arguments", "%s", failure.Message))
	}
	return a.fail(err)
}

func (a *App) parser() (*flags.Parser, error) {
	parser := flags.NewNamedParser("bronzehookctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "operators' command line of bronzehook"
	parser.LongDescription = "Records work files and shows the state of a bronzehook fleet.\n\n" + exitHelp
	if _, err := parser.AddGroup("Global options", "", &a.global); err != nil {
		return nil, errors.Wrap(err, "declare options")
	}
	for _, v := range a.verbs() {
		long := v.long + "\n\nExample: bronzehookctl " + v.example + "\n\n" + exitHelp
		if _, err := parser.AddCommand(v.name, v.short, long, v.command); err != nil {
			return nil, errors.Wrapf(err, "declare verb %s", v.name)
		}
	}
	parser.CommandHandler = a.execute
	return parser, nil
}

func (a *App) execute(command flags.Commander, args []string) error {
	if len(args) > 0 {
		return fault.New(fault.CodeInvalid, "read arguments", "unexpected argument %q", args[0])
	}
	var err error
	if a.client, err = a.newClient(); err != nil {
		return err
	}
	return command.Execute(args)
}

// requireAuthor refuses changes that nobody answers for.
func (a *App) requireAuthor() error {
	if a.global.Author == "" {
		a.global.Author = a.DefaultAuthor
	}
	if a.global.Author == "" {
		return fault.New(fault.CodeInvalid, "read arguments", "--author or BRONZEHOOK_OPERATOR_AUTHOR is required for changes")
	}
	return nil
}
