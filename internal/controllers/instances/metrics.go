package instances

import "expvar"

var (
	listFailures   = expvar.NewInt("goldcrestspool.instances.list_failures")
	noticeFailures = expvar.NewInt("goldcrestspool.instances.notice_failures")
)
