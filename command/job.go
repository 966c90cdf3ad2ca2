package command

import (
	"bytes"
	"encoding/json"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"gopkg.in/ini.v1"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

var errInvalidJob = eris.New("job is not valid")

// jobSpec is a job as described by flags or by a job file. The file is INI, with a [job] section and [task] sections,
// or JSON.
type jobSpec struct {
	ID    string `json:"id" ini:"id"`
	Team  string `json:"team" ini:"team"`
	Class string `json:"class" ini:"class"`
	// Deadline is the maximum time until the job ends, in ms. 0 selects the longest that the entry allows.
	Deadline uint32     `json:"deadline" ini:"deadline"`
	Tasks    []taskSpec `json:"tasks" ini:"-"`
}

// taskSpec describes Count equal tasks. Declared, their expected run time, is in ms and Memory in MB.
type taskSpec struct {
	Kind     string `json:"kind" ini:"kind"`
	Payload  string `json:"payload" ini:"payload"`
	Count    int    `json:"count" ini:"count"`
	Declared uint32 `json:"declared" ini:"declared"`
	Memory   uint32 `json:"memory" ini:"memory"`
	Cores    uint32 `json:"cores" ini:"cores"`
}

// jobFlags are the flags that describe a job.
type jobFlags struct {
	job  jobSpec
	task taskSpec
}

func (f *jobFlags) register(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.job.Team, "team", "default", "team that the job is charged to")
	cmd.Flags().StringVar(&f.job.Class, "class", "batch", "quick or batch")
	cmd.Flags().Uint32Var(&f.job.Deadline, "deadline", 0, "maximum time in ms until the job ends; 0 selects the longest that the entry allows")
	cmd.Flags().StringVar(&f.job.ID, "id", "", "id of an earlier submission, to submit the same job again")
	cmd.Flags().StringVar(&f.task.Kind, "kind", "", "kind of the tasks")
	cmd.Flags().StringVar(&f.task.Payload, "payload", "", "payload of each task")
	cmd.Flags().IntVar(&f.task.Count, "tasks", 1, "number of tasks")
	registerFlagCompletion(cmd, "class", "quick", "batch")
}

// request returns the job that the flags and the job file, if any, describe. The content of file "-" is read from in.
func (f *jobFlags) request(args []string, in io.Reader, changed func(flag string) bool) (*dispatchv1.SubmitRequest, error) {
	if len(args) == 0 {
		job := f.job
		job.Tasks = []taskSpec{f.task}
		return job.request()
	}
	for _, flag := range []string{"kind", "payload", "tasks"} {
		if changed(flag) {
			return nil, eris.Wrapf(errInvalidJob, "--%s cannot be combined with a job file", flag)
		}
	}
	text, err := readJobFile(args[0], in)
	if err != nil {
		return nil, err
	}
	job, err := parseJob(text)
	if err != nil {
		return nil, err
	}
	f.override(&job, changed)
	return job.request()
}

// override sets the values of the flags that were given, and for team and class also their defaults if the file has no
// value.
func (f *jobFlags) override(job *jobSpec, changed func(flag string) bool) {
	if changed("team") || job.Team == "" {
		job.Team = f.job.Team
	}
	if changed("class") || job.Class == "" {
		job.Class = f.job.Class
	}
	if changed("deadline") {
		job.Deadline = f.job.Deadline
	}
	if changed("id") {
		job.ID = f.job.ID
	}
}

func readJobFile(path string, in io.Reader) ([]byte, error) {
	if path != "-" {
		text, err := os.ReadFile(path)
		return text, eris.Wrap(err, "job file")
	}
	text, err := io.ReadAll(in)
	return text, eris.Wrap(err, "standard input")
}

func parseJob(text []byte) (jobSpec, error) {
	var job jobSpec
	if bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) {
		d := json.NewDecoder(bytes.NewReader(text))
		d.DisallowUnknownFields()
		if err := d.Decode(&job); err != nil {
			return job, eris.Wrapf(errInvalidJob, "JSON: %v", err)
		}
		return job, nil
	}
	f, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: true, KeyValueDelimiters: "="}, text)
	if err != nil {
		return job, eris.Wrapf(errInvalidJob, "INI: %v", err)
	}
	for _, s := range f.Sections() {
		if err := job.addSection(s); err != nil {
			return job, err
		}
	}
	return job, nil
}

func (j *jobSpec) addSection(s *ini.Section) error {
	var task taskSpec
	var target any
	switch s.Name() {
	case ini.DefaultSection:
		if len(s.Keys()) > 0 {
			return eris.Wrapf(errInvalidJob, "INI: key %s is before the first section", s.KeyStrings()[0])
		}
		return nil
	case "job":
		target = j
	case "task":
		target = &task
	default:
		return eris.Wrapf(errInvalidJob, "INI: unknown section [%s], want [job] and [task]", s.Name())
	}
	if err := checkKeys(s, target); err != nil {
		return err
	}
	if err := s.StrictMapTo(target); err != nil {
		return eris.Wrapf(errInvalidJob, "INI: section [%s]: %v", s.Name(), err)
	}
	if s.Name() == "task" {
		j.Tasks = append(j.Tasks, task)
	}
	return nil
}

// checkKeys returns an error if the section has a key without a field in target. The library ignores such keys.
func checkKeys(s *ini.Section, target any) error {
	known := ini.Empty()
	if err := known.ReflectFrom(target); err != nil {
		return eris.Wrapf(errInvalidJob, "INI: %v", err)
	}
	for _, key := range s.KeyStrings() {
		if !known.Section(ini.DefaultSection).HasKey(key) {
			return eris.Wrapf(errInvalidJob, "INI: unknown key %s in section [%s]", key, s.Name())
		}
	}
	return nil
}

func (j jobSpec) request() (*dispatchv1.SubmitRequest, error) {
	req := &dispatchv1.SubmitRequest{Id: j.ID, Team: j.Team, DeadlineMs: j.Deadline}
	switch j.Class {
	case "quick":
		req.Class = dispatchv1.Class_CLASS_QUICK
	case "batch":
		req.Class = dispatchv1.Class_CLASS_BATCH
	default:
		return nil, eris.Wrapf(errInvalidJob, "class is %q, want quick or batch", j.Class)
	}
	for i, t := range j.Tasks {
		if t.Kind == "" {
			return nil, eris.Wrapf(errInvalidJob, "task %d has no kind", i)
		}
		n := t.Count
		if n == 0 {
			n = 1
		}
		if n < 0 || len(req.Tasks)+n > lavendercourse.MaxTasks {
			return nil, eris.Wrapf(errInvalidJob, "a job has 1 to %d tasks", lavendercourse.MaxTasks)
		}
		for range n {
			req.Tasks = append(req.Tasks, &dispatchv1.TaskSpec{
				Kind: t.Kind, Payload: []byte(t.Payload), DeclaredMs: t.Declared, MemoryMb: t.Memory, Cores: t.Cores,
			})
		}
	}
	if len(req.Tasks) == 0 {
		return nil, eris.Wrapf(errInvalidJob, "a job has 1 to %d tasks", lavendercourse.MaxTasks)
	}
	return req, nil
}
