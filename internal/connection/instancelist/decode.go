package instancelist

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// decodedList is the last list and what it says. A list is read several times a second and seldom changes.
type decodedList struct {
	mu        sync.Mutex
	text      []byte
	instances []Instance
	malformed error
}

const (
	// maxEntry is the longest entry, in bytes.
	maxEntry = 16 << 10
	// maxResource limits each resource and the slots of an instance, so that no sum over a data centre overflows.
	maxResource = 1 << 40
)

// decode returns what decode returns for a list, which it keeps.
func (l *decodedList) decode(list []byte) ([]Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.text == nil || !bytes.Equal(l.text, list) {
		l.instances, l.malformed = decode(list)
		l.text = list
	}
	return slices.Clone(l.instances), l.malformed
}

// decode decodes the entries one by one, so that a malformed one does not hide the others. Of several entries with one id only the first counts.
func decode(list []byte) (instances []Instance, malformed error) {
	entries, err := split(list)
	if err != nil {
		return nil, err
	}
	known := make(map[ids.InstanceID]bool, len(entries))
	for i, e := range entries {
		instance, err := decodeEntry(e)
		if err == nil && known[instance.ID] {
			err = errors.Newf("%.40q is listed twice", instance.ID)
		}
		if err != nil {
			// The cause may quote a part of the entry, of any length.
			malformed = errors.Mark(errors.Newf("entry %d of the instance list: %s", i, fmt.Sprintf("%.200s", err.Error())), ErrMalformed)
			continue
		}
		known[instance.ID] = true
		instances = append(instances, instance)
	}
	return instances, malformed
}

func decodeEntry(text []byte) (Instance, error) {
	var i Instance
	if len(text) > maxEntry {
		return i, errors.Newf("it is longer than %d bytes", maxEntry)
	}
	if err := json.Unmarshal(text, &i); err != nil {
		return i, err
	}
	r := i.Total
	switch {
	case i.ID == "":
		return i, errors.New("it has no id")
	case min(int64(r.Accelerators), int64(r.Cores), int64(r.Memory), int64(i.Slots)) < 0:
		return i, errors.New("a resource is negative")
	case max(int64(r.Accelerators), int64(r.Cores), int64(r.Memory), int64(i.Slots)) > maxResource:
		return i, errors.New("a resource is too large")
	}
	host, port, err := net.SplitHostPort(i.Address)
	if number, portErr := strconv.ParseUint(port, 10, 16); err != nil || portErr != nil || host == "" || number == 0 {
		return i, errors.Newf("the address %.40q is no host with a port", i.Address)
	}
	return i, nil
}

// split returns the elements of a JSON array without checking them: the standard decoder rejects the whole array for one that is nested too deeply or is no JSON.
func split(list []byte) ([][]byte, error) {
	list = bytes.TrimSpace(list)
	if len(list) < 2 || list[0] != '[' || list[len(list)-1] != ']' {
		return nil, errors.New("the instance list is no JSON array")
	}
	list = list[1 : len(list)-1]
	if len(bytes.TrimSpace(list)) == 0 {
		return nil, nil
	}
	var elements [][]byte
	depth, start, inString := 0, 0, false
	for i := 0; i < len(list); i++ {
		switch c := list[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		case c == ',' && depth == 0:
			elements = append(elements, list[start:i])
			start = i + 1
		}
		if depth < 0 {
			break
		}
	}
	if depth != 0 || inString {
		return nil, errors.New("the instance list is no JSON array")
	}
	return append(elements, list[start:]), nil
}
