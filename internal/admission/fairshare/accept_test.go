package fairshare

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// TestPopFirstKeepsOrder guards against items that lose their place because they were skipped: a queue
// in which some searches accept nothing must grant in the same order as one without such searches.
func TestPopFirstKeepsOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain, skipping := New(Config{}), New(Config{})
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				item := Item{
					Account:  ident.ClientAccount(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "account"))),
					Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Cost: float64(i + 1),
				}
				one, other := item, item
				plain.Push(&one)
				skipping.Push(&other)
				continue
			}
			asked := map[*Item]bool{}
			stopAfter := rapid.IntRange(0, 300).Draw(t, "stop after")
			none := skipping.PopFirst(func(item *Item) Verdict {
				if asked[item] {
					t.Fatal("an item was offered twice")
				}
				if len(asked) == stopAfter {
					return Stop
				}
				asked[item] = true
				return Skip
			})
			if none != nil || len(asked) != min(stopAfter, skipping.Len()) {
				t.Fatalf("%d of %d items were offered, want at most %d", len(asked), skipping.Len(), stopAfter)
			}
			want, got := plain.Pop(nil), skipping.PopFirst(func(*Item) Verdict { return Accept })
			if (want == nil) != (got == nil) || want != nil && (want.Account != got.Account || want.Cost != got.Cost) {
				t.Fatalf("granted %+v, want %+v", got, want)
			}
		}
	})
}
