package fairshare

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// TestPopAcceptedKeepsOrder guards against items that lose their place because they were skipped: a queue
// in which some searches accept nothing must grant in the same order as one without such searches.
func TestPopAcceptedKeepsOrder(t *testing.T) {
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
			none := skipping.PopAccepted(func(item *Item) bool {
				if asked[item] {
					t.Fatal("an item was offered twice")
				}
				asked[item] = true
				return false
			})
			if none != nil || len(asked) != skipping.Len() {
				t.Fatalf("%d of %d items were offered", len(asked), skipping.Len())
			}
			want, got := plain.Pop(nil), skipping.PopAccepted(func(*Item) bool { return true })
			if (want == nil) != (got == nil) || want != nil && (want.Account != got.Account || want.Cost != got.Cost) {
				t.Fatalf("granted %+v, want %+v", got, want)
			}
		}
	})
}
