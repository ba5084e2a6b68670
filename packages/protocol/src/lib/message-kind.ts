/** Kinds of messages between two processes. Each is also the name of the task's action that answers it. */
export enum PeerMessageKind {
  AcquireSlot = 'dispatcher.acquire',
  ReleaseSlot = 'dispatcher.release',
  CancelRequest = 'dispatcher.cancel',
  SummariseCells = 'dispatcher.summarise',
  ExplainRequest = 'decisions.explain',
  KeepDecisions = 'archive.keep',
  AppendJournal = 'journal.append',
  TrimJournal = 'journal.trim',
  CommitRecord = 'ledger.commit',
  ReadClaim = 'ledger.claim',
  ReadBatch = 'ledger.batch',
  OpenBatch = 'batches.open',
  Probe = 'member.probe'
}
