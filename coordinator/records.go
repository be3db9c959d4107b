package coordinator

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"bronzehook/api"
)

const taskPrefix = "task/"

func taskKey(id api.TaskID) string { return taskPrefix + string(id) }

func encodeTask(t api.Task) ([]byte, error) {
	value, err := cbor.Marshal(t)
	return value, errors.Wrapf(err, "encode task %s", t.ID)
}

func decodeTask(value []byte) (api.Task, error) {
	var t api.Task
	err := cbor.Unmarshal(value, &t)
	return t, errors.Wrap(err, "decode task")
}
