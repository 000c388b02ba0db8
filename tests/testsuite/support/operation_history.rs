//! Records the operations of concurrent callers on keys, and checks that they are linearizable.

use std::collections::BTreeMap;
use std::sync::Mutex;

use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::Action;
use todc_utils::linearizability::history::History;
use todc_utils::specifications::register::RegisterOperation;
use todc_utils::specifications::register::RegisterSpecification;

/// The value of a key; `None` where it is absent.
pub type KeyValue = Option<String>;

type KeyOperation = RegisterOperation<KeyValue>;
type KeyChecker = WGLChecker<RegisterSpecification<KeyValue>>;

#[derive(Debug, Clone)]
struct RecordedOperation {
    key: String,
    called: usize,
    ended: Option<usize>,
    operation: KeyOperation,
    dropped: bool,
}

/// Identifies a recorded operation.
#[derive(Debug, Clone, Copy)]
pub struct OperationId(usize);

#[derive(Debug, Default)]
struct HistoryState {
    clock: usize,
    operations: Vec<RecordedOperation>,
}

impl HistoryState {
    fn tick(&mut self) -> usize {
        self.clock += 1;
        self.clock
    }
}

/// A history of concurrent reads and writes of keys.
#[derive(Debug, Default)]
pub struct OperationHistory(Mutex<HistoryState>);

impl OperationHistory {
    /// Records the call of a write.
    pub fn call_write(&self, key: &str, value: &str) -> OperationId {
        self.call(key, RegisterOperation::Write(Some(value.to_owned())))
    }

    /// Records the call of a read.
    pub fn call_read(&self, key: &str) -> OperationId {
        self.call(key, RegisterOperation::Read(None))
    }

    fn call(&self, key: &str, operation: KeyOperation) -> OperationId {
        let mut state = self.0.lock().unwrap();
        let called = state.tick();
        state.operations.push(RecordedOperation {
            key: key.to_owned(),
            called,
            ended: None,
            operation,
            dropped: false,
        });
        OperationId(state.operations.len() - 1)
    }

    /// Records that a write was acknowledged.
    pub fn end_write(&self, id: OperationId) {
        let mut state = self.0.lock().unwrap();
        let ended = state.tick();
        state.operations[id.0].ended = Some(ended);
    }

    /// Records the value that a read returned.
    pub fn end_read(&self, id: OperationId, value: KeyValue) {
        let mut state = self.0.lock().unwrap();
        let ended = state.tick();
        let operation = &mut state.operations[id.0];
        operation.ended = Some(ended);
        operation.operation = RegisterOperation::Read(Some(value));
    }

    /// Records that an operation did not run, which excludes it from the check. A write that
    /// neither ended nor was dropped may take effect at any later time, or never.
    pub fn drop_operation(&self, id: OperationId) {
        self.0.lock().unwrap().operations[id.0].dropped = true;
    }

    /// Returns how many writes were acknowledged.
    pub fn acknowledged(&self) -> usize {
        let state = self.0.lock().unwrap();
        let is_write = |o: &&RecordedOperation| matches!(o.operation, RegisterOperation::Write(_));
        let operations = state.operations.iter().filter(|o| o.ended.is_some());
        operations.filter(is_write).count()
    }

    /// Returns the keys whose operations are not linearizable.
    pub fn violations(&self) -> Vec<String> {
        let state = self.0.lock().unwrap();
        let mut keys: BTreeMap<&str, Vec<&RecordedOperation>> = BTreeMap::new();
        for operation in state.operations.iter().filter(|o| !o.dropped) {
            let unread = matches!(operation.operation, RegisterOperation::Read(None));
            if !unread {
                keys.entry(&operation.key).or_default().push(operation);
            }
        }
        let is_violated = |operations: &[&RecordedOperation]| {
            !KeyChecker::is_linearizable(to_history(operations))
        };
        keys.into_iter()
            .filter(|(_, operations)| is_violated(operations))
            .map(|(key, _)| key.to_owned())
            .collect()
    }
}

/// Assigns each operation to a separate process; a write without an acknowledgement ends after all
/// other operations.
fn to_history(operations: &[&RecordedOperation]) -> History<KeyOperation> {
    let mut actions = Vec::new();
    for (process, recorded) in operations.iter().enumerate() {
        let operation = recorded.operation.clone();
        actions.push((recorded.called, process, Action::Call(operation.clone())));
        let ended = recorded.ended.unwrap_or(usize::MAX);
        actions.push((ended, process, Action::Response(operation)));
    }
    actions.sort_by_key(|(time, process, _)| (*time, *process));
    let ordered = actions
        .into_iter()
        .map(|(_, process, action)| (process, action));
    History::from_actions(ordered.collect())
}
