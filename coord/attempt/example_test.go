package attempt_test

import (
	"fmt"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
)

// A second send of a key joins the run of the first and gets the same response.
func ExampleRecord() {
	const started = 1_785_000_000 * time.Second // the wall clock when the instance started
	const now = time.Minute
	key, err := attempt.ParseKey("019f9a4b-6460-7000-8000-000000000001")
	if err != nil {
		fmt.Println(err)
		return
	}
	record := attempt.NewRecord(attempt.DefaultRecordConfig())
	arrive := attempt.Arrive{Send: 1, Key: key, Wall: started + now, Held: true}
	fmt.Printf("%#v\n", record.Step(now, arrive))
	arrive.Send = 2
	fmt.Println("joins:", len(record.Step(now, arrive)), "actions")
	finished := attempt.Finished{Send: 1, Outcome: attempt.Served, Answer: attempt.Answer{Status: 200}}
	for _, action := range record.Step(now, finished) {
		reply := action.(attempt.Reply)
		fmt.Println("reply to send", reply.Send, "status", reply.Answer.Status)
	}
	// Output:
	// []attempt.RecordAction{attempt.Run{Send:0x1}}
	// joins: 0 actions
	// reply to send 2 status 200
}
