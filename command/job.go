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

var errJob = eris.New("job is not valid")

// jobFile is a job as INI, with a [job] section and [task] sections, or as JSON.
type jobFile struct {
	ID    string `json:"id" ini:"id"`
	Team  string `json:"team" ini:"team"`
	Class string `json:"class" ini:"class"`
	// Deadline is in ms.
	Deadline uint32     `json:"deadline" ini:"deadline"`
	Tasks    []taskFile `json:"tasks" ini:"-"`
}

// taskFile is Count equal tasks. Declared is in ms, Memory in MB.
type taskFile struct {
	Kind     string `json:"kind" ini:"kind"`
	Payload  string `json:"payload" ini:"payload"`
	Count    int    `json:"count" ini:"count"`
	Declared uint32 `json:"declared" ini:"declared"`
	Memory   uint32 `json:"memory" ini:"memory"`
	Cores    uint32 `json:"cores" ini:"cores"`
}

// jobFlags are the flags that describe a job.
type jobFlags struct {
	job  jobFile
	task taskFile
}

func (f *jobFlags) register(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.job.Team, "team", "default", "team that the job is charged to")
	cmd.Flags().StringVar(&f.job.Class, "class", "batch", "quick or batch")
	cmd.Flags().Uint32Var(&f.job.Deadline, "deadline", 0, "time in ms to the end of the job; 0 is the longest that the entry allows")
	cmd.Flags().StringVar(&f.job.ID, "id", "", "id of a job that was submitted before")
	cmd.Flags().StringVar(&f.task.Kind, "kind", "", "kind of the tasks")
	cmd.Flags().StringVar(&f.task.Payload, "payload", "", "payload of each task")
	cmd.Flags().IntVar(&f.task.Count, "tasks", 1, "number of tasks")
	completeFlag(cmd, "class", "quick", "batch")
}

// request returns the job that flags and file describe together.
func (f *jobFlags) request(args []string, in io.Reader, changed func(flag string) bool) (*dispatchv1.SubmitRequest, error) {
	if len(args) == 0 {
		job := f.job
		job.Tasks = []taskFile{f.task}
		return job.request()
	}
	for _, flag := range []string{"kind", "payload", "tasks"} {
		if changed(flag) {
			return nil, eris.Wrapf(errJob, "--%s and a job file exclude each other", flag)
		}
	}
	text, err := readFile(args[0], in)
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

// override applies the flags that were given, and the defaults of those that the file leaves open.
func (f *jobFlags) override(job *jobFile, changed func(flag string) bool) {
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

func readFile(path string, in io.Reader) ([]byte, error) {
	if path != "-" {
		text, err := os.ReadFile(path)
		return text, eris.Wrap(err, "job file")
	}
	text, err := io.ReadAll(in)
	return text, eris.Wrap(err, "standard input")
}

func parseJob(text []byte) (jobFile, error) {
	var job jobFile
	if bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) {
		d := json.NewDecoder(bytes.NewReader(text))
		d.DisallowUnknownFields()
		if err := d.Decode(&job); err != nil {
			return job, eris.Wrapf(errJob, "JSON: %v", err)
		}
		return job, nil
	}
	f, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: true, KeyValueDelimiters: "="}, text)
	if err != nil {
		return job, eris.Wrapf(errJob, "INI: %v", err)
	}
	for _, s := range f.Sections() {
		if err := job.section(s); err != nil {
			return job, err
		}
	}
	return job, nil
}

func (j *jobFile) section(s *ini.Section) error {
	var task taskFile
	var target any
	switch s.Name() {
	case ini.DefaultSection:
		if len(s.Keys()) > 0 {
			return eris.Wrapf(errJob, "INI: key %s is before the first section", s.KeyStrings()[0])
		}
		return nil
	case "job":
		target = j
	case "task":
		target = &task
	default:
		return eris.Wrapf(errJob, "INI: unknown section [%s], want [job] and [task]", s.Name())
	}
	if err := unknownKey(s, target); err != nil {
		return err
	}
	if err := s.StrictMapTo(target); err != nil {
		return eris.Wrapf(errJob, "INI: section [%s]: %v", s.Name(), err)
	}
	if s.Name() == "task" {
		j.Tasks = append(j.Tasks, task)
	}
	return nil
}

// unknownKey returns an error for a key that the target has no field for, which the library would pass over.
func unknownKey(s *ini.Section, target any) error {
	known := ini.Empty()
	if err := known.ReflectFrom(target); err != nil {
		return eris.Wrapf(errJob, "INI: %v", err)
	}
	for _, key := range s.KeyStrings() {
		if !known.Section(ini.DefaultSection).HasKey(key) {
			return eris.Wrapf(errJob, "INI: unknown key %s in section [%s]", key, s.Name())
		}
	}
	return nil
}

func (j jobFile) request() (*dispatchv1.SubmitRequest, error) {
	req := &dispatchv1.SubmitRequest{Id: j.ID, Team: j.Team, DeadlineMs: j.Deadline}
	switch j.Class {
	case "quick":
		req.Class = dispatchv1.Class_CLASS_QUICK
	case "batch":
		req.Class = dispatchv1.Class_CLASS_BATCH
	default:
		return nil, eris.Wrapf(errJob, "class is %q, want quick or batch", j.Class)
	}
	for i, t := range j.Tasks {
		if t.Kind == "" {
			return nil, eris.Wrapf(errJob, "task %d has no kind", i)
		}
		n := t.Count
		if n == 0 {
			n = 1
		}
		if n < 0 || len(req.Tasks)+n > lavendercourse.MaxTasks {
			return nil, eris.Wrapf(errJob, "a job has 1 to %d tasks", lavendercourse.MaxTasks)
		}
		for range n {
			req.Tasks = append(req.Tasks, &dispatchv1.TaskSpec{
				Kind: t.Kind, Payload: []byte(t.Payload), DeclaredMs: t.Declared, MemoryMb: t.Memory, Cores: t.Cores,
			})
		}
	}
	if len(req.Tasks) == 0 {
		return nil, eris.Wrapf(errJob, "a job has 1 to %d tasks", lavendercourse.MaxTasks)
	}
	return req, nil
}
