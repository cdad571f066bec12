package bodymem

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

// Many bodies at once could take more than the budget, or keep small ones out.
func TestSumOfBodiesStaysWithinBudget(t *testing.T) {
	const maxBytes, bodyBytes, bodies = 8 << 20, 1 << 20, 100
	budget := NewBudget(maxBytes)
	refused := 0
	for range bodies {
		if _, err := budget.NewHold().ReadAll(bytes.NewReader(make([]byte, bodyBytes)), bodyBytes, 1); err != nil {
			refused++
		}
	}
	if bound := int64(maxBytes + bodies*smallBytes); budget.Held() > bound || refused == 0 {
		t.Errorf("%d bytes held, %d refused, want at most %d and some", budget.Held(), refused, bound)
	}
	if _, err := budget.NewHold().ReadAll(bytes.NewReader(make([]byte, 1000)), bodyBytes, 4); err != nil {
		t.Errorf("a small body was refused: %v", err)
	}
}

// A body that is larger than the budget must be read if nothing else is held, and give its memory back.
func TestBodyAloneIsRead(t *testing.T) {
	budget := NewBudget(1 << 10)
	content := bytes.Repeat([]byte("tariff"), 100_000)
	hold := budget.NewHold()
	body, err := hold.ReadAll(bytes.NewReader(content), int64(len(content)), 4)
	if err != nil || !bytes.Equal(body, content) {
		t.Errorf("%d bytes and error %v, want %d bytes", len(body), err, len(content))
	}
	hold.Release()
	if budget.Held() != 0 {
		t.Errorf("%d bytes held after the release", budget.Held())
	}
}

// A body that was cut off or is too large must not pass as whole.
func TestBodyThatIsNotWholeIsRefused(t *testing.T) {
	budget := NewBudget(1 << 20)
	cut := io.MultiReader(bytes.NewReader(make([]byte, 10_000)), &failingReader{})
	if _, err := budget.NewHold().ReadAll(cut, 1<<20, 1); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("error %v, want %v", err, io.ErrUnexpectedEOF)
	}
	if _, err := budget.NewHold().ReadAll(bytes.NewReader(make([]byte, 101)), 100, 1); !errors.Is(err, ErrTooLarge) {
		t.Errorf("error %v, want %v", err, ErrTooLarge)
	}
}

type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
