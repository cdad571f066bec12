package once

import (
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// callOutput is the result that a caller got, or the count of executions at the end of a
// history.
type callOutput struct {
	// answer is set when the call returned an answer.
	answer   string
	replayed bool
	state    State
	// final is true for the count of executions; only executions is set then.
	final      bool
	executions int
}

// A key's state in the model is the answer that a caller got, or one of these.
const (
	modelNotExecuted = ""
	// modelAnswerUnseen means that the key was executed and no caller got the answer yet.
	modelAnswerUnseen = "?"
)

// keyModel defines which histories of one key are correct.
var keyModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{modelNotExecuted} },
	Step: func(state, _, out any) []any { return stepKey(state.(string), out.(callOutput)) },
}

// stepKey returns the states that may follow state after a call with output out; none
// when the output is wrong in that state.
func stepKey(state string, out callOutput) []any {
	ran := state != modelNotExecuted
	switch {
	case out.final && (out.executions == 1) != ran:
		return nil
	case out.final:
		return []any{state}
	case out.answer != "" && !out.replayed && !ran:
		return []any{out.answer}
	case out.answer != "" && !out.replayed:
		return nil
	case out.answer != "" && (state == out.answer || state == modelAnswerUnseen):
		return []any{out.answer}
	case out.answer != "":
		return nil
	case out.state == StateNotRun && ran:
		return nil
	case out.state == StateRan && !ran:
		return nil
	case out.state == StateUnknown && !ran:
		return []any{modelNotExecuted, modelAnswerUnseen}
	default:
		return []any{state}
	}
}

// history records the calls with all keys.
type history struct {
	mu        sync.Mutex
	startedAt time.Time
	keys      map[string][]porcupine.Operation
}

func newHistory() *history {
	return &history{startedAt: time.Now(), keys: make(map[string][]porcupine.Operation)}
}

// add records a call that started at startedAt and has just ended.
func (h *history) add(client int, key string, startedAt time.Time, out callOutput) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.keys[key] = append(h.keys[key], porcupine.Operation{
		ClientId: client, Input: key, Output: out,
		Call: int64(startedAt.Sub(h.startedAt)), Return: int64(time.Since(h.startedAt)),
	})
}

// check fails the test for each key that was executed more than once or whose history
// the model does not allow. executions returns how often a key was executed.
func (h *history) check(t *testing.T, executions func(key string) int) {
	t.Helper()
	for key, operations := range h.keys {
		n := executions(key)
		if n > 1 {
			t.Errorf("%s was executed %d times", key, n)
		}
		end := int64(time.Since(h.startedAt))
		operations = append(operations, porcupine.Operation{
			Input: key, Output: callOutput{final: true, executions: n}, Call: end + 1, Return: end + 2,
		})
		if !porcupine.CheckOperations(keyModel.ToModel(), operations) {
			t.Errorf("%s: the model does not allow the history %+v", key, operations)
		}
	}
}

// outputOf returns the output of a call that returned result and err.
func outputOf(result Result, err error) callOutput {
	var refused *Error
	switch {
	case err == nil:
		return callOutput{answer: string(result.Answer), replayed: result.Replayed, state: StateRan}
	case errors.As(err, &refused):
		return callOutput{state: refused.State()}
	default:
		return callOutput{state: StateUnknown}
	}
}

// TestModelRejectsWrongHistories guards against a model that allows histories in which a
// key ran twice, or in which a caller got a result that contradicts the executions.
func TestModelRejectsWrongHistories(t *testing.T) {
	fresh := func(answer string) callOutput { return callOutput{answer: answer, state: StateRan} }
	replay := func(answer string) callOutput { return callOutput{answer: answer, replayed: true, state: StateRan} }
	unknown := callOutput{state: StateUnknown}
	notRun := callOutput{state: StateNotRun}
	final := func(n int) callOutput { return callOutput{final: true, executions: n} }
	cases := []struct {
		name    string
		outputs []callOutput
		want    bool
	}{
		{"first and repeat", []callOutput{fresh("a"), replay("a"), final(1)}, true},
		{"two executions", []callOutput{fresh("a"), fresh("b"), final(1)}, false},
		{"another answer", []callOutput{fresh("a"), replay("b"), final(1)}, false},
		{"unknown, then replayed", []callOutput{unknown, replay("a"), final(1)}, true},
		{"unknown, then run", []callOutput{unknown, fresh("a"), final(1)}, true},
		{"unknown and not executed", []callOutput{unknown, final(0)}, true},
		{"not run and executed", []callOutput{notRun, final(1)}, false},
		{"not run after an answer", []callOutput{fresh("a"), notRun, final(1)}, false},
		{"replay without an execution", []callOutput{replay("a"), final(1)}, false},
		{"answered and not executed", []callOutput{fresh("a"), final(0)}, false},
	}
	for _, tc := range cases {
		var operations []porcupine.Operation
		for i, out := range tc.outputs {
			operations = append(operations, porcupine.Operation{Output: out, Call: int64(2 * i), Return: int64(2*i + 1)})
		}
		if got := porcupine.CheckOperations(keyModel.ToModel(), operations); got != tc.want {
			t.Errorf("%s: history allowed: %v, want %v", tc.name, got, tc.want)
		}
	}
}
