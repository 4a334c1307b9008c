package ids

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Adjacency is the placement constraint between the tasks of a gang.
type Adjacency string

// Shape is the resource request of a gang: a number of tasks, the resources of each task and their adjacency.
type Shape struct {
	Tasks    int
	Each     Resources
	Adjacent Adjacency `json:",omitempty"`
}

const (
	// AnyRack allows the tasks of a gang to be placed anywhere in one data centre.
	AnyRack Adjacency = ""
	// SameRack requires all tasks of a gang to be placed in one rack.
	SameRack Adjacency = "Rack"
	// SameInstance requires all tasks of a gang to be placed on one instance.
	SameInstance Adjacency = "Instance"

	// MaxTasks is the maximum number of tasks in a gang.
	MaxTasks = 256
)

// Total returns the total resources of all tasks.
func (s Shape) Total() Resources {
	return s.Each.Times(s.Tasks)
}

// String formats the shape in the syntax of ParseShape, without cores and memory.
func (s Shape) String() string {
	text := fmt.Sprintf("%dx%d", s.Tasks, s.Each.Accelerators)
	if s.Adjacent != AnyRack {
		text += "/" + string(s.Adjacent)
	}
	return text
}

// Validate returns an error if the shape is malformed. It doesn't check the shape against available resources.
func (s Shape) Validate() error {
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return errors.Newf("Tasks is %d, must be 1 to %d", s.Tasks, MaxTasks)
	}
	if s.Each.Accelerators < 0 || s.Each.Cores < 0 || s.Each.Memory < 0 {
		return errors.New("a task's Accelerators, Cores and Memory must not be negative")
	}
	if s.Each == (Resources{}) {
		return errors.New("a task must need some Accelerators, Cores or Memory")
	}
	switch s.Adjacent {
	case AnyRack, SameRack, SameInstance:
		return nil
	}
	return errors.Newf("Adjacent is %q, must be Rack, Instance or empty", s.Adjacent)
}

// ParseShape parses and validates TASKSxACCELERATORS with an optional /Rack or /Instance, such as 2x8/Rack.
func ParseShape(text string) (Shape, error) {
	size, adjacent, _ := strings.Cut(text, "/")
	left, right, found := strings.Cut(size, "x")
	tasks, err := strconv.Atoi(strings.TrimSpace(left))
	if !found || err != nil {
		return Shape{}, errors.Newf("%q is no shape, write TASKSxACCELERATORS such as 2x8 or 2x8/Rack", text)
	}
	each, err := strconv.Atoi(strings.TrimSpace(right))
	if err != nil {
		return Shape{}, errors.Newf("%q is no shape, write TASKSxACCELERATORS such as 2x8 or 2x8/Rack", text)
	}
	s := Shape{Tasks: tasks, Each: Resources{Accelerators: Accelerators(each)}, Adjacent: Adjacency(strings.TrimSpace(adjacent))}
	return s, s.Validate()
}
